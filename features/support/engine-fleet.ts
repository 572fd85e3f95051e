import type { PromptPart } from "../../src/forward/prompt-part.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import type { UpstreamEntry } from "../../src/forward/upstream-entry.js";
import { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { type EngineFleetParts, engineFleetParts } from "./engine-fleet-parts.js";
import { entryOf } from "./forward-samples.js";
import { SimulatedEngine } from "./simulated-engine.js";

const SERVICE = "engine";
const SLOTS = 24;
const SHARED_TOKENS = 6_300;
const OWN_TOKENS = 2_900;
const SEED = 7;

/** How a fleet of instances and engines is made. */
export interface FleetSize {
  readonly instances: number;
  readonly engines: number;
  /** Time between two exchanges of an instance with the one that all of them call, in ms. */
  readonly exchangeMs: number;
}

/** A kind of load. */
export interface FleetLoad {
  readonly perSecond: number;
  readonly parts: number;
  /** Share of the requests that have the first part. */
  readonly hotShare: number;
}

/** One request that got its first event. */
export interface PlacedRequest {
  readonly part: string;
  readonly engine: string;
  readonly sentMs: number;
  readonly firstMs: number;
}

type Instance = EngineFleetParts & { readonly health: UpstreamHealthRegistry };

/** Instances that place requests of the same load at the same engines, on a manual clock. */
export class EngineFleet {
  readonly timers = ManualTimers.create();
  readonly engines = new Map<string, SimulatedEngine>();
  readonly placed: PlacedRequest[] = [];
  largestDigestBytes = 0;
  private readonly random = RandomSource.create(SEED);
  private readonly directory: UpstreamDirectory;
  private readonly instances: Instance[];
  private requests = 0;

  private constructor(size: FleetSize) {
    const { timers } = this;
    this.directory = UpstreamDirectory.create({ timers });
    const ids = Array.from({ length: size.engines }, (_, at) => `i-${at}`);
    this.directory.apply(
      ids.map((id) => [id, entryOf({ id, service: SERVICE, slots: SLOTS })]),
      0,
    );
    for (const id of ids) this.engines.set(id, SimulatedEngine.create(timers));
    this.instances = Array.from({ length: size.instances }, () => {
      const health = UpstreamHealthRegistry.create({ timers, directory: this.directory });
      return { health, ...engineFleetParts({ timers, upstreamHealth: health }) };
    });
    for (const at of this.instances.keys()) {
      if (at === 0) continue;
      timers.after(this.random.below(size.exchangeMs), () => {
        timers.every(size.exchangeMs, () => {
          this.exchange(at);
        });
      });
    }
  }

  static create(size: FleetSize): EngineFleet {
    return new EngineFleet(size);
  }

  /** Sends requests for some time; each arrives at any of the instances. */
  async serve({ perSecond, parts, hotShare }: FleetLoad, ms: number): Promise<void> {
    const endMs = this.timers.now() + ms;
    for (;;) {
      await this.timers.advance(this.random.exponential(1_000 / perSecond));
      if (this.timers.now() >= endMs) return;
      const hot = this.random.fraction() < hotShare;
      this.send(this.random.below(this.instances.length), hot ? 0 : 1 + this.random.below(parts));
    }
  }

  /** Each instance sends one request with the first part at the same moment. */
  sendAtOnce(): void {
    for (const at of this.instances.keys()) this.send(at, 0);
  }

  /** The instances send one request with the first part, one after the other. */
  async sendInTurn(everyMs: number): Promise<void> {
    for (const at of this.instances.keys()) {
      this.send(at, 0);
      await this.timers.advance(everyMs);
    }
  }

  /** Gives the first instance what a call carried. */
  receive(carried: unknown): void {
    this.instances[0]?.loadExchange.receive("1", carried);
  }

  private send(at: number, part: number): void {
    this.requests += 1;
    this.sendParts(at, [
      { id: `part-${part}`, tokens: SHARED_TOKENS },
      { id: `own-${this.requests}`, tokens: OWN_TOKENS },
    ]);
  }

  /** What an instance would tell another one. */
  digestOf(at: number): unknown {
    return this.instances[at]?.loadExchange.outgoing("other");
  }

  sendParts(at: number, promptParts: readonly PromptPart[]): void {
    const instance = this.instances[at];
    if (instance === undefined) return;
    const part = promptParts[0]?.id ?? "";
    const entry = this.place(instance, promptParts);
    const engine = this.engines.get(entry?.id ?? "");
    if (entry === undefined || engine === undefined) throw new Error("no engine was chosen");
    const health = instance.health.of(entry.id);
    const work = instance.enginePlacement.begin(entry, promptParts, { streamed: true });
    const sentMs = this.timers.now();
    health.inFlight += 1;
    let begun = false;
    engine.run(promptParts, {
      onEvent: () => {
        work?.answer();
        const firstMs = this.timers.now() - sentMs;
        if (!begun) this.placed.push({ part, engine: entry.id, sentMs, firstMs });
        begun = true;
      },
      onEnd: () => {
        health.inFlight -= 1;
        work?.end();
      },
    });
  }

  private place(instance: Instance, promptParts: readonly PromptPart[]): UpstreamEntry | undefined {
    return instance.enginePlacement.place({
      ...{ service: SERVICE, prefix: promptParts[0]?.id ?? "", promptParts },
      ...{ candidates: this.directory.forService(SERVICE), tried: new Set<string>() },
    })?.option.entry;
  }

  /** The call of an instance to the one that all call, and its answer. */
  private exchange(at: number): void {
    const caller = this.instances[at]?.loadExchange;
    const called = this.instances[0]?.loadExchange;
    if (caller === undefined || called === undefined) return;
    const told = caller.outgoing("0");
    if (told !== undefined) called.receive(`${at}`, told);
    const answered = called.outgoing(`${at}`);
    for (const digest of [told, answered])
      this.largestDigestBytes = Math.max(
        this.largestDigestBytes,
        JSON.stringify(digest ?? {}).length,
      );
    if (answered !== undefined) caller.receive("0", answered);
  }
}
