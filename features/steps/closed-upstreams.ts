import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { DecisionLines } from "../../src/forward/decision-lines.js";
import type { DispatchParts } from "../../src/forward/dispatch-parts.js";
import { ForwardMetrics } from "../../src/forward/forward-metrics.js";
import {
  PermittedSelection,
  type SelectionOutcome,
} from "../../src/forward/permitted-selection.js";
import type { RequestContext } from "../../src/forward/request-context.js";
import { RouteView } from "../../src/forward/route-view.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import type { UpstreamEntry } from "../../src/forward/upstream-entry.js";
import { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import { UpstreamSelector } from "../../src/forward/upstream-selector.js";
import { type SentKind, UpstreamStatements } from "../../src/forward/upstream-statements.js";
import type { Permit } from "../../src/limit/permit.js";
import type { PermitOutcome, UpstreamPermits } from "../../src/limit/upstream-permits.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { AttemptSelection } from "../../src/version/attempt-selection.js";
import { StreamVersion } from "../../src/version/stream-version.js";
import { engineFleetParts } from "../support/engine-fleet-parts.js";
import { configurationOf, entryOf, routeOf } from "../support/forward-samples.js";

const SERVICE = "s";
const PAUSE_MS = 20_000;
const STEP_MS = 10;

interface ClosingWorld {
  timers: ManualTimers;
  directory: UpstreamDirectory;
  upstreamHealth: UpstreamHealthRegistry;
  statements: UpstreamStatements;
  selection: AttemptSelection;
  outcome: SelectionOutcome | undefined;
  /** Times at which permits were asked for, by upstream. */
  asked: Map<string, number[]>;
  selected: UpstreamEntry;
  closedMs: number;
}

const permit = { tryUse: () => true, grant: { owner: "i0" } } as unknown as Permit;

function listed(id: string, fields: Partial<UpstreamEntry> = {}): UpstreamEntry {
  return entryOf({ id, service: SERVICE, startedMs: 1, address: `${id}:1`, ...fields });
}

Given(
  "the upstreams {string} and {string} with limits and permits after {int} ms and {int} ms",
  function (this: ClosingWorld, first: string, second: string, firstMs: number, secondMs: number) {
    const timers = (this.timers = ManualTimers.create());
    const directory = (this.directory = UpstreamDirectory.create({ timers }));
    const upstreamHealth = UpstreamHealthRegistry.create({ timers, directory });
    this.upstreamHealth = upstreamHealth;
    this.asked = new Map([
      [first, []],
      [second, []],
    ]);
    const waitMs = new Map([
      [first, firstMs],
      [second, secondMs],
    ]);
    for (const id of this.asked.keys()) {
      directory.apply([[id, listed(id)]], 0);
      const limit = { perSecond: 1, receiver: "i0", learntMs: 0, reported: true };
      upstreamHealth.of(id).statedLimit = limit;
    }
    const upstreamPermits = {
      isNeeded: ({ id }: UpstreamEntry) => upstreamHealth.of(id).statedLimit !== undefined,
      expectedWaitMs: ({ id }: UpstreamEntry) => waitMs.get(id) ?? 0,
      acquire: async ({ id }: UpstreamEntry, { maxWaitMs }: { maxWaitMs: number }) => {
        this.asked.get(id)?.push(timers.now());
        await timers.sleep(Math.min(maxWaitMs, waitMs.get(id) ?? 0));
        return { kind: "granted", permit } satisfies PermitOutcome;
      },
    } as unknown as UpstreamPermits;
    const routeView = RouteView.create();
    routeView.adopt(configurationOf({}));
    this.statements = UpstreamStatements.create({
      ...{ timers, directory, forwardMetrics: ForwardMetrics.create() },
      limitKnowledge: { recordResponse: () => undefined },
      coldUpstreams: { isCold: () => false, knownMs: () => 0, recordResponse: () => undefined },
      brittleUpstreams: { recordResponse: () => undefined },
      decisionLines: { write: () => undefined } as unknown as DecisionLines,
    });
    const parts = { timers, directory, upstreamHealth, upstreamPermits };
    const permittedSelection = PermittedSelection.create({
      ...{ ...parts, upstreamStatements: this.statements },
      upstreamSelector: UpstreamSelector.create({
        ...{ ...parts, routeView, dataCentre: "a" },
        promptGuard: { suspectAmong: () => undefined },
        ...engineFleetParts(parts),
      }),
    });
    const dispatchParts = {
      ...{ ...parts, permittedSelection, brittleUpstreams: { isClosed: () => false } },
      enginePlacement: engineFleetParts(parts).enginePlacement,
    } as unknown as DispatchParts;
    const context = {
      ...{ service: SERVICE, route: routeOf({}), rank: 0, team: undefined },
      attributes: { attemptId: "a", promptParts: [] },
      ...{ targetMs: timers.now() + 10_000, deadlineMs: timers.now() + 20_000 },
      signal: new AbortController().signal,
    } as unknown as RequestContext;
    const version = StreamVersion.unrestricted();
    this.selection = AttemptSelection.create(dispatchParts, context, version, undefined);
  },
);

function change(world: ClosingWorld, id: string, kind: string): void {
  const { directory, upstreamHealth } = world;
  world.closedMs = world.timers.now();
  switch (kind) {
    case "states that it leaves":
      upstreamHealth.of(id).recordAvailability({ leaving: true, stayAwayMs: 0 });
      return;
    case "asks for a pause":
      upstreamHealth.of(id).recordAvailability({ leaving: false, stayAwayMs: PAUSE_MS });
      return;
    case "is registered as leaving":
      directory.apply([[id, listed(id, { draining: true })]], 0);
      return;
    case "is removed":
      directory.apply([[id, undefined]], 0);
      return;
    case "restarts":
      directory.apply([[id, listed(id, { startedMs: 2, draining: true })]], 0);
      return;
    case "moves":
      directory.apply([[id, listed(id, { address: "u9:1", draining: true })]], 0);
      return;
    default:
      throw new Error(kind);
  }
}

async function startSelection(world: ClosingWorld, waitMs: number): Promise<void> {
  void world.selection.select(false).then((outcome) => {
    world.outcome = outcome;
  });
  await world.timers.advance(waitMs);
  assert.equal(world.outcome, undefined);
}

const CHANGE =
  "(states that it leaves|is registered as leaving|is removed|restarts|moves|asks for a pause)";

When(
  new RegExp(`^a request waits for a permit and "(.+)" ${CHANGE} after (\\d+) ms$`),
  async function (this: ClosingWorld, id: string, kind: string, ms: string) {
    await startSelection(this, Number(ms));
    change(this, id, kind);
  },
);

When(
  "a request waits for a permit and all upstreams leave after {int} ms",
  async function (this: ClosingWorld, ms: number) {
    await startSelection(this, ms);
    for (const id of this.asked.keys()) change(this, id, "states that it leaves");
  },
);

async function advanceTo(world: ClosingWorld, ms: number): Promise<void> {
  while (world.timers.now() < ms) await world.timers.advance(STEP_MS);
}

Then(
  "it has a permit of {string} {int} ms after it arrived",
  async function (this: ClosingWorld, id: string, ms: number) {
    await advanceTo(this, ms);
    assert.ok(this.outcome?.kind === "selected", this.outcome?.kind);
    assert.equal(this.outcome.entry.id, id);
  },
);

Then(
  "it stopped waiting at {string} within {int} ms",
  function (this: ClosingWorld, id: string, ms: number) {
    const others = [...this.asked].filter(([each]) => each !== id).flatMap(([, times]) => times);
    assert.ok(others.some((at) => at >= this.closedMs && at <= this.closedMs + ms));
  },
);

Then(
  "it has no upstream {int} ms after it arrived",
  async function (this: ClosingWorld, ms: number) {
    await advanceTo(this, ms);
    assert.equal(this.outcome?.kind, "none");
  },
);

Given("{string} was selected, with a permit", function (this: ClosingWorld, id: string) {
  const entry = this.directory.find(id);
  assert(entry !== undefined);
  this.selected = entry;
  assert.ok(this.statements.isOpen(entry, this.upstreamHealth.of(id)));
});

When(
  /^"(.+)" (states that it leaves|is registered as leaving|asks for a pause)$/,
  function (this: ClosingWorld, id: string, kind: string) {
    change(this, id, kind);
  },
);

Then(
  /^a "(request|stage-call|release)" to it is (let through|withheld)$/,
  function (this: ClosingWorld, kind: SentKind, outcome: string) {
    const health = this.upstreamHealth.of(this.selected.id);
    const sent = this.statements.trySend(this.selected, health, kind, permit);
    assert.equal(sent, outcome === "let through");
  },
);

Then(
  "a stream that began at version {string} may go on at {string} and not at {string}",
  function (begun: string, same: string, other: string) {
    const version = StreamVersion.create({
      ...{ begun, planned: undefined, isEvident: () => true },
      ...{ store: () => Promise.resolve(true), onBegun: () => undefined },
    });
    assert.ok(version.allows({ softwareVersion: same }));
    assert.ok(!version.allows({ softwareVersion: other }));
  },
);
