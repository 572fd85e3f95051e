import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { RowFollower } from "../../src/forward/row-follower.js";
import { type RowUpdate, rowQuerySchema } from "../../src/forward/row-update.js";
import { StoreTable } from "../../src/forward/store-table.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { aliveMemberOf } from "../support/alive-member.js";

const KEY = "row";
const READ_MS = 100;
const PEERS = ["i1", "i2"];

interface PeerRowsWorld {
  timers: ManualTimers;
  follower: RowFollower;
  /** Answers of the other instances, in the order in which they are asked. */
  answers: { readonly text: string; readonly version: number; readonly afterMs: number }[];
  row: string | undefined;
}

function updateOf(text: string, version: number): RowUpdate {
  return { era: 1, version, changes: [[KEY, text]], ageMs: 100, sinceFailureMs: 10_000 };
}

Given(
  "an instance whose row is {string} as of version {int} and whose reads of the store then fail",
  async function (this: PeerRowsWorld, text: string, version: number) {
    const timers = (this.timers = ManualTimers.create());
    this.answers = [];
    const fail = async (): Promise<never> => {
      await timers.sleep(READ_MS);
      throw new Error("refused");
    };
    this.follower = RowFollower.create(
      {
        ...{ self: "i0", cores: 1, timers, random: RandomSource.create(1) },
        loopDelay: { recentMs: 0 },
        members: { self: "i0", all: () => PEERS.map((id) => aliveMemberOf(id)) } as never,
        rowFeed: {
          readAll: () => Promise.resolve({ rows: [[KEY, text]], era: 1, version }),
          readChanges: fail,
          put: fail,
        },
        peerCalls: {
          call: async (_peer, _method, params) => {
            const { whole, after } = rowQuerySchema.parse(params);
            // Only what is asked after a failed read is answered.
            const answer = whole && after >= 0 ? this.answers.shift() : undefined;
            if (answer === undefined) return fail();
            await timers.sleep(answer.afterMs);
            return updateOf(answer.text, answer.version);
          },
        },
        decisionLines: { write: () => undefined } as never,
      },
      StoreTable.Configuration,
      { waitMs: 0, pauseMs: 0 },
      { isOlder: (_key, read, remembered) => Number(read ?? -1) < Number(remembered) },
      (changes) => {
        this.row = new Map(changes).get(KEY);
        return [KEY];
      },
    );
    void this.follower.run();
    await timers.advance(1);
    assert.equal(this.row, text);
  },
);

Given(
  "another instance answers with {string} as of version {int} after {int} ms",
  function (this: PeerRowsWorld, text: string, version: number, afterMs: number) {
    this.answers.push({ text, version, afterMs });
  },
);

When("it has asked both", async function (this: PeerRowsWorld) {
  const count = this.answers.length;
  await this.timers.advance(10 * READ_MS);
  assert.equal(count - this.answers.length, PEERS.length);
});

Then(
  "its row is {string} as of version {int}",
  function (this: PeerRowsWorld, text: string, version: number) {
    assert.equal(this.follower.cache.version, version);
    assert.equal(this.row, text);
  },
);

Then(
  "it answers a query for what follows version {int} with {string} as of version {int}",
  async function (this: PeerRowsWorld, after: number, text: string, version: number) {
    const query = { era: 1, after, waitMs: 0, whole: true };
    const answer = await this.follower.answerQuery(query);
    assert.deepEqual(answer.changes, [[KEY, text]]);
    assert.equal(answer.version, version);
    this.follower.stop();
  },
);
