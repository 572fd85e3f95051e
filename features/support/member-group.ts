import { RandomSource } from "../../src/random/random-source.js";
import type { ListedInstance } from "../../src/table/listed-instance.js";
import type { Table } from "../../src/table/table.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { NetworkMember } from "../../standin/network-member.js";
import { PeerNetwork } from "../../standin/peer-network.js";

const EPOCH_MS = 1_800_000_000_000;
const SETTLE_MS = 20_000;
const STEP_MS = 250;
const DEFAULT_REGION_COUNT = 2;

/** Members on one in-memory network, numbered from 1. */
export class MemberGroup {
  readonly members: NetworkMember[] = [];
  /** Ids of the updates that each member received. */
  readonly received = new Map<string, string[]>();
  list: () => readonly ListedInstance[] = () => this.members.map(({ listed }) => listed);

  private constructor(
    readonly clock: ManualTimers,
    readonly network: PeerNetwork,
    private readonly regions: number,
    private readonly table: Table | undefined,
  ) {}

  static async create(
    count: number,
    regions = DEFAULT_REGION_COUNT,
    table?: (clock: ManualTimers) => Table,
  ): Promise<MemberGroup> {
    const clock = ManualTimers.create(EPOCH_MS);
    const network = PeerNetwork.create(clock, RandomSource.create(1));
    const group = new MemberGroup(clock, network, regions, table?.(clock));
    for (let index = 0; index < count; index += 1) group.members.push(group.create(index, clock));
    await Promise.all(group.members.map((member) => member.start()));
    await clock.advance(SETTLE_MS);
    return group;
  }

  /** The member with this number. */
  member(number: number): NetworkMember {
    const member = this.members[number - 1];
    if (member === undefined) throw new Error(`no member ${number}`);
    return member;
  }

  /** Starts a new run of a killed member. */
  async restart(number: number, clock: ManualTimers): Promise<void> {
    this.members[number - 1] = this.create(number - 1, clock);
    await this.member(number).start();
  }

  runningOthers(number: number): NetworkMember[] {
    return this.members.filter((each, index) => index !== number - 1 && each.port.up);
  }

  /** Advances the clock until the condition holds; returns false if it does not within `limitMs`. */
  async advanceUntil(limitMs: number, condition: () => boolean): Promise<boolean> {
    for (let elapsedMs = 0; !condition() && elapsedMs < limitMs; elapsedMs += STEP_MS) {
      await this.clock.advance(STEP_MS);
    }
    return condition();
  }

  private create(index: number, clock: ManualTimers): NetworkMember {
    const member = NetworkMember.create(clock, this.network, {
      id: `sousse-${index + 1}`,
      region: `region-${index % this.regions}`,
      seed: index + 1,
      list: () => this.list(),
      ...(this.table === undefined ? {} : { table: this.table }),
    });
    const received: string[] = [];
    this.received.set(member.id, received);
    member.parts.updates.subscribe((update) => received.push(JSON.stringify(update)));
    return member;
  }
}
