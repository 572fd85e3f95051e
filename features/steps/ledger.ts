import assert from "node:assert/strict";
import { Before, Then, When } from "@cucumber/cucumber";
import { createConsola } from "consola";
import fc from "fast-check";
import { Configuration } from "../../src/configuration/configuration.js";
import { ConfigurationView } from "../../src/configuration/configuration-view.js";
import { LedgerExpiry } from "../../src/ledger/ledger-expiry.js";
import { ledgerKey, ledgerRowOf } from "../../src/ledger/ledger-row.js";
import { RandomSource } from "../../src/random/random-source.js";
import { sampleConfiguration } from "../../standin/sample-configuration.js";
import { WriteBatcher } from "../../src/ledger/write-batcher.js";
import { LedgerFleet } from "../support/ledger-fleet.js";
import { type History, historyOf, runHistory } from "../support/ledger-history.js";
import type { ScenarioWorld } from "../support/world.js";

const DEADLINE_MS = 10_000;
const SEED = 20_261;

let fleet = LedgerFleet.create();
let told: string[] = [];

Before(function (this: ScenarioWorld) {
  fleet = LedgerFleet.create();
  this.scene = fleet;
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

When("{word} deletes expired rows for {int} ms", async (id: string, ms: number) => {
  const { timers, table } = fleet;
  const configurationView = ConfigurationView.create();
  const team = { name: "t", credentialDigests: ["0".repeat(64)] };
  const document = { ...sampleConfiguration([]), teams: [team] };
  configurationView.adopt(Configuration.create(1, document));
  const expiry = LedgerExpiry.create({
    ...{ timers, table, configurationView, members: fleet.membersOf(id) },
    tableBreaker: fleet.instance(id).breaker,
    random: RandomSource.create(SEED),
    log: createConsola({ level: -1 }),
  });
  expiry.start();
  await timers.advance(ms);
  expiry.stop();
});
Then("{int} ledger rows are left", async (count: number) => {
  const rows = fleet.table.query("ledger#t", "", 100);
  await fleet.timers.advance(0);
  assert.equal((await rows).length, count);
});
Then("the ledger row of {string} is {string}", async (key: string, state: string) => {
  const row = fleet.table.get(ledgerKey({ team: "t", idempotencyKey: key }));
  await fleet.timers.advance(0);
  const found = await row;
  assert.equal(found && ledgerRowOf(found).record.state, state);
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
Then("{int} random histories keep every promise", async (runs: number) => {
  const property = fc.asyncProperty(historyOf(), async (history: History) => {
    assert.deepEqual(await runHistory(history), []);
  });
  await fc.assert(property, { numRuns: runs, seed: SEED });
});
