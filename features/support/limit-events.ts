import { MemberState } from "../../src/peer/member-state.js";
import { type LimitFleet, UPSTREAM } from "./limit-fleet.js";
import type { LimitInstance } from "./limit-instance.js";

/** Time after which instances see that another one is missing. */
const SUSPICION_MS = 4_500;
const DEATH_MS = 10_000;
const FREEZE_MS = 6_000;
/** Longer than the age of the view that instances use. */
const VIEW_MS = 250;
/** Time in which heartbeats reach all others. */
const HEARTBEAT_MS = 2_000;

/** Plays an event of a scenario; throws if there is none of that name. */
export async function playEvent(fleet: LimitFleet, event: string): Promise<void> {
  const { owner } = fleet;
  switch (event) {
    case "the owner of the limit restarts":
      fleet.start(owner.id, 2);
      return;
    case "the owner of the limit stops":
      owner.grants.leave();
      fleet.seeAs(owner.id, MemberState.Leaving);
      return;
    case "the owner of the limit ends and is found missing":
      fleet.end(owner.id);
      await fleet.timers.advance(SUSPICION_MS);
      fleet.seeAs(owner.id, MemberState.Suspect);
      await fleet.timers.advance(DEATH_MS - SUSPICION_MS);
      fleet.seeAs(owner.id, MemberState.Dead);
      return;
    case "the owner of the limit freezes for 6 s":
      await freeze(fleet, owner);
      return;
    case "an instance joins":
      fleet.start("joining");
      return;
    case "1 in 5 messages is lost":
      fleet.network.lossRate = 0.2;
      return;
    case "half of the others suspect the owner falsely":
      await suspectFalsely(fleet, owner);
      return;
    case "the fleet is split in halves":
      split(fleet, [0, 0, 0, 0, 1, 1, 1, 1]);
      return;
    case "3 of 8 instances are cut off":
      split(fleet, [0, 0, 0, 0, 0, 1, 1, 1]);
      return;
    case "all instances are cut off from each other":
      split(fleet, [0, 1, 2, 3, 4, 5, 6, 7]);
      return;
    case "the upstream states no limit any more":
      fleet.perSecond = undefined;
      return;
    case "the upstream accepts only 1 request per second":
      fleet.perSecond = 1;
      return;
    default:
      throw new Error(`unknown event "${event}"`);
  }
}

/** Half of the others suspect the owner, among them the one that owns the limit without it. */
async function suspectFalsely(fleet: LimitFleet, owner: LimitInstance): Promise<void> {
  const others = fleet.instances.filter((each) => each !== owner);
  fleet.seeAs(owner.id, MemberState.Suspect);
  await fleet.timers.advance(VIEW_MS);
  const deputyId = others[0]?.owners.ownerOf(UPSTREAM.id);
  const trusting = others.filter(({ id }) => id !== deputyId).slice(0, others.length / 2);
  for (const other of trusting) other.see(owner.id, MemberState.Alive);
}

async function freeze(fleet: LimitFleet, owner: LimitInstance): Promise<void> {
  const others = fleet.instances.filter((each) => each !== owner);
  fleet.network.frozen.add(owner.id);
  fleet.silent.add(owner.id);
  owner.freeze();
  await fleet.timers.advance(SUSPICION_MS);
  fleet.seeAs(owner.id, MemberState.Suspect);
  await fleet.timers.advance(FREEZE_MS - SUSPICION_MS);
  fleet.network.frozen.delete(owner.id);
  fleet.silent.delete(owner.id);
  owner.thaw(FREEZE_MS);
  // Heartbeats take a while to reach the others.
  for (const other of others) {
    await fleet.timers.advance(HEARTBEAT_MS / others.length);
    other.see(owner.id, MemberState.Alive);
  }
}

/** Cuts the instances off from those with another number; they notice it after a while. */
function split(fleet: LimitFleet, sides: readonly number[]): void {
  const sideOf = new Map(fleet.instances.map(({ id }, at) => [id, sides[at] ?? 0]));
  for (const [id, side] of sideOf) fleet.network.partition.set(id, side);
  const seeOthers = (state: MemberState): void => {
    for (const instance of fleet.instances) {
      for (const [id, side] of sideOf)
        if (side !== sideOf.get(instance.id)) instance.see(id, state);
    }
  };
  fleet.timers.after(SUSPICION_MS, () => {
    seeOthers(MemberState.Suspect);
  });
  fleet.timers.after(DEATH_MS, () => {
    seeOthers(MemberState.Dead);
  });
}
