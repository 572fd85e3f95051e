import type { RequestContext } from "../../src/forward/request-context.js";
import { PermittedSelection } from "../../src/forward/permitted-selection.js";
import { RouteView } from "../../src/forward/route-view.js";
import type { UpstreamEntry } from "../../src/forward/upstream-entry.js";
import { UpstreamSelector } from "../../src/forward/upstream-selector.js";
import { SentKind } from "../../src/forward/upstream-statements.js";
import { MemberState } from "../../src/peer/member-state.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { configurationOf, entryOf, routeOf } from "./forward-samples.js";
import { respond } from "./engine-response.js";
import { engineFleetParts } from "./engine-fleet-parts.js";
import { LimitInstance, type Warmup } from "./limit-instance.js";
import { arriveAtRandom, type ColdLoad } from "./cold-load.js";
import { type EngineArrival, mostWhileCold } from "./engine-arrivals.js";
import { LimitNetwork } from "./limit-network.js";

const SERVICE = "engines";
const SLOTS = 24;
const START_MS = 3_000;
const RATE = { requestsPerSecond: 7.3, startMs: START_MS };
export const BOUNDS = { factor: 1.5, slack: 5 };
const SERVICE_MS = 400;
/** Prompts that requests share. */
const PROMPTS = 200;
const SETTLE_MS = 3_000;
const TARGET_MS = 1_000;
/** Time from the write of a row until an instance has read it. */
const ROW_LAG_MS = 1_500;
const MIN_ROW_LAG_MS = 300;
const READ_INTERVAL_MS = 600;
const DARK_MS = 2_000;
const SEED = 0x9e3779b1;
const HOT_PROMPT = "hot";

/** Instances before engines that become cold, on a manual clock. */
export class ColdFleet {
  readonly timers = ManualTimers.create();
  readonly instances: LimitInstance[] = [];
  readonly arrivals: EngineArrival[] = [];
  /** Whether responses state how long an engine stays cold. */
  states = false;
  refused = 0;
  asked = 0;
  private readonly random = RandomSource.create(SEED);
  readonly network = LimitNetwork.create(this.timers, this.random);
  private readonly engines = new Map<string, UpstreamEntry>();
  private readonly darkUntilMs = new Map<string, number>();
  private readonly coldUntilMs = new Map<string, number>();
  private readonly selections = new WeakMap<LimitInstance, PermittedSelection>();
  private readonly routeView = RouteView.create();

  private constructor(private readonly warmup: Warmup["warmupBounds"]) {
    const service = { name: SERVICE, engine: { slots: SLOTS }, warmup: RATE };
    this.routeView.adopt(configurationOf({ services: new Map([[SERVICE, service]]) }));
  }

  /** The engines of "a" and "b" are warm. */
  static async create(
    instances: number,
    engines: number,
    warmupBounds: Warmup["warmupBounds"],
  ): Promise<ColdFleet> {
    const fleet = new ColdFleet(warmupBounds);
    for (let at = 0; at < engines; at += 1) {
      const id = `e${at}`;
      const dataCentre = at % 3 === 0 ? "a" : "b";
      fleet.engines.set(id, entryOf({ id, service: SERVICE, dataCentre, slots: SLOTS }));
    }
    for (let at = 0; at < instances; at += 1) fleet.start(`i${at}`);
    fleet.confirmRows(READ_INTERVAL_MS);
    await fleet.timers.advance(SETTLE_MS);
    return fleet;
  }

  /** Starts an instance; an earlier process of that id has ended. */
  start(id: string, incarnation = 1): void {
    this.end(id);
    const { timers, network, routeView, warmup: warmupBounds } = this;
    const warmup = { warmupBounds, routeView };
    const instance = LimitInstance.create(id, timers, network, incarnation, warmup);
    for (const entry of this.engines.values()) instance.list(entry);
    for (const other of this.instances) {
      other.see(id, MemberState.Alive, incarnation);
      instance.see(other.id, MemberState.Alive, other.incarnation);
    }
    this.instances.push(instance);
    const { timers: clock, directory, upstreamHealth, upstreamPermits, statements } = instance;
    const parts = { timers: clock, directory, upstreamHealth, upstreamPermits };
    const others = { upstreamSelector: this.selectorOf(instance), upstreamStatements: statements };
    this.selections.set(instance, PermittedSelection.create({ ...parts, ...others }));
  }

  end(id: string): void {
    const at = this.instances.findIndex((each) => each.id === id);
    if (at < 0) return;
    this.instances.splice(at, 1);
    this.network.remove(id);
  }

  seeAs(id: string, state: MemberState): void {
    for (const other of this.instances) if (other.id !== id) other.see(id, state);
  }

  /** Home of the hot prompt. */
  get home(): string {
    const prompt = [{ id: HOT_PROMPT, tokens: 1 }];
    const [instance] = this.instances;
    if (instance === undefined) throw new Error("there are no instances");
    return this.selectorOf(instance).select(SERVICE, prompt, new Set())?.id ?? "";
  }

  private selectorOf({ timers, directory, upstreamHealth }: LimitInstance): UpstreamSelector {
    return UpstreamSelector.create({
      ...{ directory, upstreamHealth, routeView: this.routeView, dataCentre: "a" },
      enginePlacement: engineFleetParts({ timers, upstreamHealth }).enginePlacement,
      promptGuard: { suspectAmong: () => undefined },
    });
  }

  get owner(): string {
    return this.instances[0]?.owners.ownerOf(this.home) ?? "";
  }

  dataCentreOf(id: string): string {
    return this.engines.get(id)?.dataCentre ?? "";
  }

  /** Engines of a data centre, or the engine of an id, start as new processes, or become cold. */
  async chill(place: string, change: "start" | "become cold" | "unseen"): Promise<void> {
    const now = this.timers.now();
    for (const [id, previous] of this.engines) {
      if (previous.dataCentre !== place && id !== place) continue;
      this.coldUntilMs.set(id, now + START_MS);
      const startedMs = change === "start" ? now : previous.startedMs;
      const entry = { ...previous, startedMs, warmupMs: START_MS };
      this.engines.set(id, entry);
      if (change === "unseen") continue;
      this.write(entry);
    }
    await this.timers.advance(0);
  }

  /** The engines of a data centre cannot be reached for a while; their rows stay. */
  darken(dataCentre: string): Promise<void> {
    for (const [id, entry] of this.engines)
      if (entry.dataCentre === dataCentre) this.darkUntilMs.set(id, this.timers.now() + DARK_MS);
    return this.timers.advance(DARK_MS);
  }

  /** One instance reads that an engine has become cold. */
  async chillBefore(reader: LimitInstance, id: string): Promise<void> {
    await this.chill(id, "unseen");
    const entry = this.engines.get(id);
    if (entry) reader.list(entry);
  }

  /** Instances that grant no permits. */
  get others(): LimitInstance[] {
    const ids = [...this.engines.keys()];
    const owners = new Set(ids.map((id) => this.instances[0]?.owners.ownerOf(id)));
    return this.instances.filter(({ id }) => !owners.has(id));
  }

  /** Each instance reads the present rows at a time of its own; readers tell only those that changed. */
  readRows(): void {
    for (const entry of this.engines.values())
      if (this.remainingMs(entry.id) > 0) this.write(entry);
    this.confirmRows();
  }

  /** All rows of now are known when the last of them has been read. */
  private confirmRows(intervalMs = Infinity): void {
    const now = this.timers.now();
    if (intervalMs < Infinity)
      this.timers.after(intervalMs, () => {
        this.confirmRows(intervalMs);
      });
    for (const instance of this.instances)
      instance.timers.after(ROW_LAG_MS, () => {
        instance.rowsReadMs = Math.max(instance.rowsReadMs, now);
      });
  }

  /** Each instance fails once to connect to each engine. */
  loseConnects(): void {
    for (const id of this.engines.keys())
      for (const instance of this.instances) instance.healthOf(id).recordUnreachable();
  }

  private remainingMs(id: string): number {
    return Math.max(0, (this.coldUntilMs.get(id) ?? 0) - this.timers.now());
  }

  private write(entry: UpstreamEntry): void {
    const warmupMs = this.remainingMs(entry.id);
    for (const instance of this.instances)
      instance.timers.after(MIN_ROW_LAG_MS + this.random.below(ROW_LAG_MS - MIN_ROW_LAG_MS), () => {
        instance.list({ ...entry, warmupMs });
      });
  }

  /** Sends requests at random times; returns before they have ended. */
  load(load: ColdLoad): void {
    arriveAtRandom(this, this.random, load, (hot) => {
      const prompt = hot ? HOT_PROMPT : `p${this.random.below(PROMPTS)}`;
      const instance = this.instances[this.random.below(this.instances.length)];
      if (instance !== undefined) void this.send(instance, prompt);
    });
  }

  async send(instance: LimitInstance, prompt = HOT_PROMPT): Promise<void> {
    this.asked += 1;
    while (this.network.frozen.has(instance.id)) await instance.timers.sleep(1);
    const now = instance.timers.now();
    const context = {
      ...{ service: SERVICE, route: routeOf({}), rank: 0, team: undefined },
      attributes: { attemptId: "a", promptParts: [{ id: prompt, tokens: 1 }] },
      ...{ targetMs: now + TARGET_MS, deadlineMs: now + 2 * TARGET_MS },
      signal: new AbortController().signal,
    } as unknown as RequestContext;
    const tried = new Set<string>();
    for (let attempts = 0; attempts < 4; attempts += 1) {
      const input = { context, tried, mayHaveRun: false, inputs: undefined };
      const outcome = await this.selections.get(instance)?.select(input);
      if (outcome?.kind !== "selected") break;
      const { entry, permit } = outcome;
      const health = instance.healthOf(entry.id);
      if (!instance.statements.trySend(entry, health, SentKind.Request, permit)) continue;
      const atMs = this.timers.now();
      if (atMs < (this.darkUntilMs.get(entry.id) ?? -Infinity)) {
        health.recordUnreachable();
        tried.add(entry.id);
        continue;
      }
      const cold = this.remainingMs(entry.id) > 0;
      this.arrivals.push({ atMs, id: entry.id, cold });
      health.inFlight += 1;
      await instance.timers.sleep(SERVICE_MS);
      health.inFlight -= 1;
      respond(instance, entry, permit, this.states ? this.remainingMs(entry.id) : undefined);
      return;
    }
    this.refused += 1;
  }

  get mostWhileCold(): number {
    return mostWhileCold(this.arrivals);
  }
}
