import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { Given, Then, When } from "@cucumber/cucumber";
import { leaseKey, leaseRowOf } from "../../src/order/lease-row.js";
import { DynamoTable } from "../../src/table/dynamo-table.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { Fleet } from "../../standin/fleet.js";
import { MemoryTable } from "../../standin/memory-table.js";
import { OrderGroup } from "../support/order-group.js";
import type { ScenarioWorld } from "../support/world.js";

const TAKEOVER_MS = 13_000;
const GROUP = "engine.e1";
const FLEET_ENGINE = "advice-1";
const CREDENTIAL = "order-credential";

let group: OrderGroup;
let timers: ManualTimers;
let engineUrl: string;
let killedNumber: number;

Given(
  /^an engine that (checks|ignores) fencing numbers$/,
  function (this: ScenarioWorld, kind: string) {
    timers = ManualTimers.create();
    const table = MemoryTable.create(timers);
    this.scene = { timers, table };
    group = OrderGroup.create(timers, table, kind === "checks");
  },
);
Given("the engine has seen number {int}", (fencing: number) => {
  group.engine.fencing = fencing;
});
Given("the answer of the next order is lost", () => {
  group.engine.loseAnswers = 1;
});
Given("a wants {string}", (model: string) => {
  group.start("a", model, true);
});
Given("a wants {string} and its first order takes {int} ms", (model: string, ms: number) => {
  group.engine.delays.push(ms);
  group.start("a", model, true);
});
Given(
  "a wants {string} and needs {int} ms to connect and does not notice pauses",
  (model: string, ms: number) => {
    group.connectMs = ms;
    group.start("a", model, false);
  },
);

async function takeOver(model: string): Promise<void> {
  // The first turn that finds the lease held is at 5 s.
  await timers.advance(5_500);
  group.instance("a").timers.freeze();
  group.down.add("a");
  group.start("b", model, true);
  await timers.advance(TAKEOVER_MS);
  assert.equal(group.instance("b").keeper.lease(GROUP)?.fencing(), 2);
}

When("a is paused while it connects and b that wants {string} takes over", takeOver);
When("a is killed and b that wants {string} takes over", takeOver);
When("a runs on", () => {
  group.instance("a").timers.thaw();
});
When("a is paused for {int} ms", async (ms: number) => {
  await timers.advance(5_500);
  const { timers: own, keeper } = group.instance("a");
  assert.ok((keeper.lease(GROUP)?.remainingMs ?? 0) > 0);
  own.freeze();
  await timers.advance(ms);
  own.thaw();
});
When("a wants {string} from now on", (model: string) => {
  group.wanted.set("a", [model]);
});

Then("every order that was sent has number {int}", async (number: number) => {
  await timers.advance(30_000);
  assert.deepEqual([...new Set(group.engine.sent)], [number]);
});
Then("only number {int} took effect", (number: number) => {
  assert.deepEqual([...new Set(group.engine.effects.map(({ fencing }) => fencing))], [number]);
});
Then("the first order that took effect is {string}", (order: string) => {
  assert.equal(group.engine.effects[0]?.order, order);
});
Then("a holds no lease", () => {
  assert.equal(group.instance("a").keeper.lease(GROUP)?.remainingMs, 0);
});
Then("the engine holds {string}", (models: string) => {
  assert.deepEqual([...group.engine.models].sort(), models.split(",").sort());
});
Then("b logged that it withheld {string} as {string}", (order: string, reason: string) => {
  const line = { kind: "place", upstream: "e1", order, sent: false, reason };
  assert.deepEqual(group.instance("b").decisions[0], line);
});

function assertInOrder(): void {
  const numbers = group.engine.effects.map(({ fencing }) => fencing);
  assert.ok(numbers.length > 0);
  assert.deepEqual(
    numbers,
    [...numbers].sort((a, b) => a - b),
  );
}
Then("the orders took effect in the order of their numbers", assertInOrder);
Then(
  "in {int} random runs the orders took effect in the order of their numbers",
  async (runs: number) => {
    for (let seed = 1; seed <= runs; seed += 1) {
      const random = RandomSource.create(seed);
      timers = ManualTimers.create();
      group = OrderGroup.create(timers, MemoryTable.create(timers), false);
      const ids = ["a", "b", "c"];
      for (const id of ids) group.start(id, id === "a" ? "advice" : "chat", random.below(2) === 0);
      for (let turn = 0; turn < 25; turn += 1) {
        const [id = ""] = random.sample(ids, 1);
        group.connectMs = random.below(2_000);
        group.engine.delays.push(random.below(29_000));
        const { timers: own } = group.instance(id);
        own.freeze();
        if (random.below(2) === 0) group.down.add(id);
        await timers.advance(random.below(40_000));
        own.thaw();
        group.down.delete(id);
        await timers.advance(random.below(3_000));
      }
      assertInOrder();
    }
  },
);

Given(
  "a fleet of {int} daemons that give orders to 1 engine",
  async function (this: ScenarioWorld, daemons: number) {
    this.fleet = await Fleet.create({
      daemons,
      services: { encoder: 1, retriever: 1, reranker: 1, advice: 1, booking: 1 },
      settings: (settings) => ({
        ...settings,
        orders: { id: "nutmegstage", credential: CREDENTIAL },
        bounds: { ...settings.bounds, leaseMs: 2_000, longestOrderMs: 2_000 },
      }),
      configuration: (document) => ({
        ...document,
        upstreams: document.upstreams.map((upstream) =>
          upstream.id === FLEET_ENGINE
            ? { ...upstream, models: ["advice"], checksIssuer: true }
            : upstream,
        ),
      }),
    });
    engineUrl = this.fleet.upstreams.get(FLEET_ENGINE)?.url ?? "";
    await this.fleet.control(`${engineUrl}/models`, { issuerCredential: CREDENTIAL });
    assert.ok((await loadedAfterMs()) < 10_000);
  },
);

async function loadedAfterMs(): Promise<number> {
  const start = performance.now();
  while (performance.now() - start < 30_000) {
    const answer = await fetch(`${engineUrl}/v1/models`);
    const { data } = (await answer.json()) as { data: unknown[] };
    if (data.length === 1) break;
    await delay(50);
  }
  return performance.now() - start;
}

When(
  "the holder of the engine's lease is killed and the engine loses its model",
  async function (this: ScenarioWorld) {
    const [daemon] = this.fleet.daemons;
    const table = DynamoTable.create(daemon?.settings.table ?? assert.fail());
    const row = await table.get(leaseKey(`engine.${FLEET_ENGINE}`));
    const { holder, fencing } = leaseRowOf(row ?? assert.fail("no lease")).record;
    killedNumber = fencing;
    const holding = this.fleet.daemons.find(({ settings }) => settings.instance.id === holder);
    await holding?.child.end("SIGKILL");
    await fetch(`${engineUrl}/v1/unload_lora_adapter`, {
      method: "POST",
      headers: { "content-type": "application/json", authorization: `Bearer ${CREDENTIAL}` },
      body: JSON.stringify({ lora_name: "advice" }),
    });
  },
);
Then(
  "the engine holds its model again within {int} ms by an order with a higher number",
  async (boundMs: number) => {
    const took = await loadedAfterMs();
    assert.ok(took <= boundMs, `took ${took} ms`);
    const orders = (await (await fetch(`${engineUrl}/models/orders`)).json()) as {
      fencing: number;
    }[];
    assert.ok((orders.at(-1)?.fencing ?? 0) > killedNumber);
  },
);
