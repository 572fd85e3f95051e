import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { MemberState } from "../../src/peer/member-state.js";
import { PeerMethod } from "../../src/peer/peer-method.js";
import { MAX_ENTRIES_PER_MESSAGE } from "../../src/peer/broadcast-item.js";
import type { ListedInstance } from "../../src/table/listed-instance.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { MemberGroup } from "../support/member-group.js";

const SECOND_MS = 1_000;
const HOUR_MS = 3_600_000;
const ABSENT_INSTANCE: ListedInstance = {
  id: "sousse-ghost",
  peerAddress: "http://127.0.0.1:2",
  dataCentre: "region-0",
  state: "live",
  cores: 1,
};
const UPDATE = { kind: "crash-acquittal", team: "branches", contentDigest: "d" } as const;

let group: MemberGroup;
let pauseLengths: number[] = [];
let firstIncarnation = 0;
let seenDead: string[] = [];

function allSee(number: number, state: string): boolean {
  return group
    .runningOthers(number)
    .every((each) => each.stateOf(group.member(number).id) === state);
}

function allSeeAll(state: string): boolean {
  return group.members.every((_, at) => allSee(at + 1, state));
}

async function within(seconds: number, condition: () => boolean): Promise<void> {
  const views = (): unknown =>
    group.members.map(({ id, parts }) => [
      id,
      parts.members
        .all()
        .flatMap(({ id, state }) => (state === MemberState.Alive ? [] : [`${id} ${state}`])),
    ]);
  const held = await group.advanceUntil(seconds * SECOND_MS, condition);
  assert(held, held ? "" : JSON.stringify(views()).slice(0, 2_000));
}

Given("{int} members on an in-memory network", async (count: number) => {
  group = await MemberGroup.create(count);
});

When("member {int} is killed", (number: number) => {
  group.member(number).kill();
});

When(/^members ([\d, ]+) are killed$/, (numbers: string) => {
  for (const number of numbers.split(", ")) group.member(Number(number)).kill();
});

When("member {int} is frozen for {int} s", async (number: number, seconds: number) => {
  const member = group.member(number);
  pauseLengths = [];
  member.parts.pauses.subscribe((length) => pauseLengths.push(length));
  member.freeze();
  await group.clock.advance(seconds * SECOND_MS);
  member.thaw();
});

When("the region of member {int} is cut for {int} s", async (number: number, seconds: number) => {
  const { region } = group.member(number).port;
  group.network.cut(region);
  await group.clock.advance(seconds * SECOND_MS);
  group.network.join(region);
});

When("the list drops member {int}", (number: number) => {
  group.list = () => group.runningOthers(number).map(({ listed }) => listed);
});

When("the list is empty", () => {
  group.list = () => [];
});

When("the list is down", () => {
  group.list = () => {
    throw new Error("the list is down");
  };
});

When("the list adds an instance that does not exist", () => {
  const listed = group.members.map((member) => member.listed);
  group.list = () => [...listed, ABSENT_INSTANCE];
});

When("{int} s pass", async (seconds: number) => {
  await group.clock.advance(seconds * SECOND_MS);
});

When("member {int} leaves and is killed", async (number: number) => {
  void group.member(number).parts.membership.leave();
  await group.clock.advance(SECOND_MS);
  assert(allSee(number, "leaving"));
  group.member(number).kill();
});

When(
  /^member (\d+) is killed and restarts with its clock (.*)$/,
  async (number: string, clock: string) => {
    const { own } = group.member(Number(number)).parts.memberTable;
    firstIncarnation = own.incarnation;
    group.member(Number(number)).kill();
    await group.clock.advance(SECOND_MS);
    const shift = clock === "right" ? 0 : HOUR_MS;
    const shifted: ManualTimers = Object.create(group.clock, {
      wallClock: { value: () => group.clock.wallClock() - shift },
    }) as ManualTimers;
    await group.restart(Number(number), shifted);
  },
);

When(
  "member {int} is frozen and member {int} publishes an update",
  (frozen: number, by: number) => {
    group.member(frozen).freeze();
    group.member(by).parts.updates.publish(UPDATE);
  },
);

When(
  "an update that is repaired at three successors of member {int} is then forwarded",
  async (number: number) => {
    const { id, parts } = group.member(number);
    const successors = parts.memberTable.ring.successors(id, 4);
    const call = { id: "repaired", item: UPDATE };
    const send = (to: string, params: object): unknown =>
      group.network.call(id, to, PeerMethod.Broadcast, params, SECOND_MS);
    for (const to of successors.slice(0, 3)) void send(to, call);
    await group.clock.advance(100);
    void send(successors[0] ?? "", { ...call, until: id });
  },
);

When(
  "no message from member {int} reaches member {int} for {int} s",
  async (from: number, to: number, seconds: number) => {
    seenDead = [];
    group.member(to).parts.members.subscribe(({ id, state }) => {
      if (state === MemberState.Dead) seenDead.push(id);
    });
    group.network.cutWay(group.member(from).id, group.member(to).id);
    await group.clock.advance(seconds * SECOND_MS);
  },
);

When(
  "member {int} tells member {int} of {int} other members",
  async (from: number, to: number, count: number) => {
    const { own } = group.member(from).parts.memberTable;
    for (let at = 0; at < count; at += MAX_ENTRIES_PER_MESSAGE) {
      const entries = Array.from({ length: MAX_ENTRIES_PER_MESSAGE }, (_, each) => {
        return { ...own, id: `other-${at + each}` };
      });
      const call = { id: `news-${at}`, item: { kind: "members", entries } };
      const { id } = group.member(to);
      void group.network.call(own.id, id, PeerMethod.Broadcast, call, SECOND_MS);
    }
    await group.clock.advance(SECOND_MS / 10);
  },
);

When("member {int} is thawed", (number: number) => {
  group.member(number).thaw();
});

Then(
  /^within (\d+) s (member 2|some member) sees member (\d+) as "(\w+)" or "(\w+)"$/,
  (seconds: string, by: string, number: string, first: string, second: string) =>
    within(Number(seconds), () =>
      (by === "some member" ? group.runningOthers(Number(number)) : [group.member(2)]).some(
        (each) => [first, second].includes(each.stateOf(group.member(Number(number)).id)),
      ),
    ),
);

Then(
  "within {int} s all see member {int} as {string}",
  (limit: number, of: number, state: string) => within(limit, () => allSee(of, state)),
);

Then("all see member {int} as {string}", (number: number, state: string) =>
  within(0, () => allSee(number, state)),
);

Then("within {int} s all see each other as {string}", (seconds: number, state: string) =>
  within(seconds, () => allSeeAll(state)),
);

Then("all see each other as {string}", (state: string) => within(0, () => allSeeAll(state)));

Then("all see the added instance as {string}", (state: string) => {
  assert(group.members.every((member) => member.stateOf(ABSENT_INSTANCE.id) === state));
});

Then(
  "member {int} noticed a pause and sees all others as {string}",
  (number: number, state: string) => {
    assert.equal(pauseLengths.length, 1);
    const member = group.member(number);
    assert(group.runningOthers(number).every(({ id }) => member.stateOf(id) === state));
  },
);

Then("within {int} s all see the new run of member {int}", (seconds: number, number: number) =>
  within(seconds, () =>
    group.runningOthers(number).every(({ parts }) => {
      const seen = parts.members.find(group.member(number).id);
      return seen?.state === MemberState.Alive && seen.incarnation > firstIncarnation;
    }),
  ),
);

Then("member {int} never considered member {int} dead", (by: number, of: number) => {
  assert(!seenDead.includes(group.member(of).id));
  assert.equal(group.member(by).stateOf(group.member(of).id), MemberState.Alive);
});

Then(
  "member {int} knows {int} members, and the running ones are among them",
  (number: number, count: number) => {
    const { parts } = group.member(number);
    assert.equal(parts.members.all().length, count);
    assert(group.runningOthers(number).every(({ id }) => parts.members.find(id) !== undefined));
  },
);

Then("within {int} s all running members have the update once", (seconds: number) =>
  within(seconds, () =>
    group.runningOthers(1).every(({ id }) => group.received.get(id)?.length === 1),
  ),
);

Then("within {int} s member {int} has the update once", (seconds: number, number: number) =>
  within(seconds, () => group.received.get(group.member(number).id)?.length === 1),
);
