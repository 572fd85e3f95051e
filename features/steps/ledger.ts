import assert from "node:assert/strict";
import { Before, Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { WriteBatcher } from "../../src/ledger/write-batcher.js";
import { LedgerFleet } from "../support/ledger-fleet.js";
import { type History, historyOf, runHistory } from "../support/ledger-history.js";

const DEADLINE_MS = 10_000;
const SEED = 20_261;

let fleet = LedgerFleet.create();
let told: string[] = [];

Before({ tags: "not @processes" }, () => {
  fleet = LedgerFleet.create();
  told = [];
});

function request(id: string, key: string, payload = "p", deadlineMs = DEADLINE_MS): void {
  const at = told.push("nothing") - 1;
  void fleet
    .instance(id)
    .request({ key, payload, deadlineMs })
    .then((answer) => {
      told[at] = answer;
    });
}

Given("the next transaction takes effect after {int} ms", (ms: number) => {
  fleet.table.script({ effectDelayMs: ms });
});
Given("the next {int} transactions take effect after {int} ms", (count: number, ms: number) => {
  fleet.table.script(...Array.from({ length: count }, () => ({ effectDelayMs: ms })));
});
Given("the answer of the next transaction is lost", () => {
  fleet.table.script({ loseAnswers: 1 });
});
Given(
  "the next transaction takes effect at once and is answered after {int} ms",
  (delayMs: number) => {
    fleet.table.script({ delayMs });
  },
);
Given(/^the table is (down|up)$/, (state: string) => {
  fleet.table.faults = { ...fleet.table.faults, down: state === "down" };
});
When("{string} is requested through {word}", (key: string, id: string) => {
  request(id, key);
});
When(
  "{string} with payload {string} is requested through {word}",
  (key: string, payload: string, id: string) => {
    request(id, key, payload);
  },
);
When(
  "{string} with deadline {int} ms is requested through {word}",
  (key: string, ms: number, id: string) => {
    request(id, key, "p", ms);
  },
);
When(
  "{int} keys are requested through {word}, {int} ms apart",
  async (count: number, id: string, ms: number) => {
    for (let at = 0; at < count; at += 1) {
      request(id, `k${at}`);
      if (ms > 0) await fleet.timers.advance(ms);
    }
  },
);
When(
  "the rows {string} and then the rows {string} are put if absent",
  async (first: string, second: string) => {
    const { timers, table } = fleet;
    const tableBreaker = fleet.instance("a").breaker;
    const batcher = WriteBatcher.create({ timers, table, tableBreaker });
    for (const sort of [...first.split(", "), "", ...second.split(", ")]) {
      if (sort === "") await timers.advance(100);
      if (sort === "") continue;
      const at = told.push("nothing") - 1;
      const key = { partition: "p", sort };
      const write = {
        kind: "put",
        key,
        version: 1,
        value: "{}",
        expect: { kind: "absent" },
      } as const;
      void batcher.write(write).then((committed) => {
        told[at] = committed ? "committed" : "rejected";
      });
    }
    await timers.advance(100);
  },
);
Then("the puts are {string}", (expected: string) => {
  assert.equal(told.join(", "), expected);
});
When("{int} ms pass", async (ms: number) => {
  await fleet.timers.advance(ms);
});
When("{word} is killed", (id: string) => {
  fleet.kill(id);
});
When("{word} is started", (id: string) => {
  fleet.instance(id);
});
When("{word} is frozen", (id: string) => {
  fleet.instance(id).freeze();
});
When("{word} resumes", (id: string) => {
  fleet.instance(id).resume();
});

Then("the callers are told {string}", (expected: string) => {
  assert.equal(told.join("; "), expected);
  assert.deepEqual(fleet.check(), []);
});
Then("the callers are told {string} {int} times", async (expected: string, count: number) => {
  await fleet.timers.advance(0);
  assert.deepEqual(
    told,
    Array.from({ length: count }, () => expected),
  );
});
Then("the last was told to retry after {int} to {int} ms", (least: number, most: number) => {
  const retryMs = fleet.lastRetryMs ?? 0;
  assert.ok(retryMs >= least && retryMs <= most, `retry after ${retryMs} ms`);
});
Then(/^"(.+)" was dispatched (\d+) times?$/, (key: string, count: string) => {
  assert.equal(fleet.dispatched.get(key)?.length ?? 0, Number(count));
});
Then("{int} keys were dispatched once", (count: number) => {
  assert.equal(fleet.dispatched.size, count);
  assert.deepEqual(fleet.check(), []);
});
Then("{int} transactions were sent", (count: number) => {
  assert.equal(fleet.table.transactions, count);
});
Then("{int} random histories keep every promise", async (runs: number) => {
  const property = fc.asyncProperty(historyOf(), async (history: History) => {
    assert.deepEqual(await runHistory(history), []);
  });
  await fc.assert(property, { numRuns: runs, seed: SEED });
});
