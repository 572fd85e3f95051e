import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createConsola } from "consola";
import { ConfigurationView } from "../../src/configuration/configuration-view.js";
import { Configuration } from "../../src/configuration/configuration.js";
import type { Decision } from "../../src/decision/decision.js";
import { LeaseKeeper } from "../../src/order/lease-keeper.js";
import { PLACEMENT_GROUP } from "../../src/order/managed-engines.js";
import { PlacementPlan } from "../../src/order/placement-plan.js";
import { PlacementTask } from "../../src/order/placement-task.js";
import { MemberState } from "../../src/peer/member-state.js";
import type { Settings } from "../../src/settings/settings.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { MemoryTable } from "../../standin/memory-table.js";
import { sampleConfiguration } from "../../standin/sample-configuration.js";
import { SingleInstanceDemand } from "../../standin/single-instance-demand.js";
import type { ScenarioWorld } from "../support/world.js";

const MODELS = ["advice", "chat"];
const BYTES = 1_000;
/** Work of one engine in ms of service time per second. */
const ENGINE_WORK = 8_000;
const settings = { bounds: { leaseMs: 10_000 } } as Settings;

let memoryBytes: number | undefined;
let digest = { services: {}, teams: {} };
let decisions: Decision[];
let view: ConfigurationView;

function configure(version: number): void {
  const document = sampleConfiguration(
    ["e1", "e2"].map((id, at) => ({ id, service: "advice", port: at + 1 })),
  );
  const upstreams = document.upstreams.map((one) => ({ ...one, models: MODELS, memoryBytes }));
  const models = MODELS.map((name) => ({ name, bytes: BYTES }));
  const services = MODELS.map((name) => ({ name, kind: "generate", model: name }));
  const changed = { ...document, models, services, pipelines: [], upstreams };
  view.adopt(Configuration.create(version, changed));
}

Given(
  "engines e1 and e2 for advice, which may hold advice and chat",
  function (this: ScenarioWorld) {
    const timers = ManualTimers.create();
    this.scene = { timers, table: MemoryTable.create(timers) };
    view = ConfigurationView.create();
    memoryBytes = undefined;
    decisions = [];
    configure(1);
  },
);
Given("a and b decide placement", async function (this: ScenarioWorld) {
  for (const self of ["a", "b"]) {
    const members = {
      self,
      all: () => [
        {
          id: "a",
          incarnation: 1,
          dataCentre: "",
          peerAddress: "",
          cores: 1,
          state: MemberState.Alive,
        },
      ],
      find: () => undefined,
      subscribe: () => ({ cancel: () => undefined }),
    };
    const parts = {
      ...this.scene,
      settings,
      members,
      incarnation: 1,
      pauses: { subscribe: () => ({ cancel: () => undefined }) },
      log: createConsola({ level: 0 }),
      configurationView: view,
      demandSource: { digest: () => digest },
      demandReports: SingleInstanceDemand.create(),
      decisionLog: { write: (decision: Decision) => decisions.push(decision) },
    };
    const leaseKeeper = LeaseKeeper.create(parts);
    leaseKeeper.keep([PLACEMENT_GROUP]);
    leaseKeeper.start();
    PlacementTask.create({ ...parts, leaseKeeper }).start();
  }
  await this.scene.timers.advance(0);
});
Given(/^the engines have memory for (both models|neither model)$/, (kind: string) => {
  memoryBytes = kind === "both models" ? 2 * BYTES : BYTES / 2;
  configure(2);
});
Given(
  /^the demand is (\d+)% advice and (\d+)% (background )?chat$/,
  (advice: string, chat: string, background: string | null) => {
    const work = { advice: Number(advice), chat: Number(chat) };
    const of = (percent: number): number => (percent / 100) * ENGINE_WORK;
    const rank = background === null ? "urgent" : "background";
    digest = {
      services: { advice: of(work.advice), chat: of(work.chat) },
      teams: { "advice|urgent|t": of(work.advice), [`chat|${rank}|t`]: of(work.chat) },
    };
  },
);

When("the table refuses the next renewal and the next plan", function (this: ScenarioWorld) {
  this.scene.table.script({ down: true }, { down: true });
});
When("a plan based on the version before is written late", async function (this: ScenarioWorld) {
  const { timers, table } = this.scene;
  const stale = PlacementPlan.of(undefined).with("e2", ["chat"]);
  const result = table.transact([stale.write()], "late");
  await timers.advance(0);
  assert.equal((await result).kind, "rejected");
});

async function plan(world: ScenarioWorld): Promise<PlacementPlan> {
  const row = world.scene.table.get(PlacementPlan.key);
  await world.scene.timers.advance(0);
  return PlacementPlan.of(await row);
}

Then("the plan is {string}", async function (this: ScenarioWorld, text: string) {
  const { engines } = await plan(this);
  const lines = Object.entries(engines).map(([id, models]) => `${id} ${models.join(",")}`);
  assert.equal(lines.join("; "), text);
});
Then("a or b logged that {string} is withheld as {string}", (order: string, reason: string) => {
  const found = decisions.filter((line) => line.kind === "place" && line.order === order);
  assert.deepEqual(
    found.map((line) => (line.kind === "place" ? [line.sent, line.reason] : [])),
    [[false, reason]],
  );
});
