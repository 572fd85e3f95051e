import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  PermittedSelection,
  type SelectionOutcome,
} from "../../src/forward/permitted-selection.js";
import type { RequestContext } from "../../src/forward/request-context.js";
import { RouteView } from "../../src/forward/route-view.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import { UpstreamSelector } from "../../src/forward/upstream-selector.js";
import type { UpstreamPermits } from "../../src/limit/upstream-permits.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { engineFleetParts } from "../support/engine-fleet-parts.js";
import { configurationOf, entryOf, routeOf } from "../support/forward-samples.js";

const SERVICE = "engines";
const SLOTS = 8;

interface SelectionWorld {
  upstreamHealth: UpstreamHealthRegistry;
  upstreamSelector: UpstreamSelector;
  selection: PermittedSelection;
  outcome: SelectionOutcome;
  /** IDs of the home engine and the selected one, by request. */
  selected: { home: string | undefined; id: string }[];
}

function contextOf(prefix: string): RequestContext {
  return {
    service: SERVICE,
    route: routeOf({}),
    attributes: { attemptId: prefix, promptParts: [{ id: prefix, tokens: 1 }] },
    rank: 0,
    team: undefined,
    targetMs: 1_000,
    deadlineMs: 2_000,
    signal: new AbortController().signal,
  } as unknown as RequestContext;
}

Given(
  "engines {string} and {string} in data centre {string} and {string}, {string} and {string} in data centre {string}",
  function (
    this: SelectionWorld,
    a1: string,
    a2: string,
    a: string,
    b1: string,
    b2: string,
    b3: string,
    b: string,
  ) {
    const timers = ManualTimers.create();
    const directory = UpstreamDirectory.create({ timers });
    const places = [a1, a2].map((id) => [id, a] as const);
    const others = [b1, b2, b3].map((id) => [id, b] as const);
    directory.apply(
      [...places, ...others].map(([id, dataCentre]) => [
        id,
        entryOf({ id, service: SERVICE, dataCentre, slots: SLOTS }),
      ]),
      0,
    );
    const routeView = RouteView.create();
    const services = new Map([[SERVICE, { name: SERVICE, engine: { slots: SLOTS } }]]);
    routeView.adopt(configurationOf({ services: services }));
    this.upstreamHealth = UpstreamHealthRegistry.create({ timers, directory });
    const parts = { timers, directory, upstreamHealth: this.upstreamHealth };
    this.upstreamSelector = UpstreamSelector.create({
      ...{ ...parts, routeView, dataCentre: a },
      promptGuard: { suspectAmong: () => undefined },
      ...engineFleetParts(parts),
    });
    const upstreamPermits = {
      isNeeded: ({ id }: { id: string }) => this.upstreamHealth.of(id).statedLimit !== undefined,
      expectedWaitMs: () => 0,
      acquire: ({ id }: { id: string }) =>
        Promise.resolve(
          this.upstreamHealth.of(id).statedLimit === undefined
            ? { kind: "unlimited" }
            : { kind: "refused", availableInMs: 1_000 },
        ),
    } as unknown as UpstreamPermits;
    this.selection = PermittedSelection.create({
      ...parts,
      upstreamSelector: this.upstreamSelector,
      upstreamPermits,
      upstreamStatements: { isOpen: () => true },
    });
  },
);

function limit(world: SelectionWorld, id: string): void {
  const stated = { perSecond: 1, receiver: "i0", learntMs: 0, reported: true };
  world.upstreamHealth.of(id).statedLimit = stated;
}

Given("{string} states a limit and has no permits", function (this: SelectionWorld, id: string) {
  limit(this, id);
});

Given("all engines state a limit and have no permits", function (this: SelectionWorld) {
  for (const id of ["a1", "a2", "b1", "b2", "b3"]) limit(this, id);
});

When("a request is dispatched", async function (this: SelectionWorld) {
  const tried = new Set<string>();
  const input = { context: contextOf("p"), tried, mayHaveRun: false, inputs: undefined };
  this.outcome = await this.selection.select(input);
});

Then(
  "it is refused with a retry delay of at least {int} ms",
  function (this: SelectionWorld, ms: number) {
    assert.ok(this.outcome.kind === "limited");
    assert.ok(this.outcome.availableInMs >= ms, `${this.outcome.availableInMs} ms`);
  },
);

Given(
  /^"(.+)" is "(idle|half full|unreachable)"$/,
  function (this: SelectionWorld, id: string, state: string) {
    const health = this.upstreamHealth.of(id);
    if (state === "half full") health.inFlight = SLOTS / 2;
    if (state === "unreachable") health.recordUnreachable();
  },
);

When(
  "{int} requests with stage results in data centre {string} are dispatched",
  async function (this: SelectionWorld, count: number, dataCentre: string) {
    this.selected = [];
    for (let at = 0; at < count; at += 1) {
      const context = contextOf(`prefix-${at}`);
      const { promptParts } = context.attributes;
      const home = this.upstreamSelector.select(SERVICE, promptParts, new Set())?.id;
      const outcome = await this.selection.select({
        context,
        tried: new Set(),
        mayHaveRun: false,
        inputs: { handles: ["h"], dataCentre },
      });
      assert.ok(outcome.kind === "selected");
      this.selected.push({ home, id: outcome.entry.id });
    }
  },
);

Then("none of them goes to {string}", function (this: SelectionWorld, id: string) {
  assert.ok(!this.selected.some((each) => each.id === id));
});

Then(
  /^those whose home is "(.+)" go to (?:"(.+)"|other engines)$/,
  function (this: SelectionWorld, home: string, expected: string | null) {
    const displaced = this.selected.filter((each) => each.home === home);
    assert.ok(displaced.length > 0);
    for (const { id } of displaced) {
      if (expected === null) assert.match(id, /^b/);
      else assert.equal(id, expected);
    }
  },
);
