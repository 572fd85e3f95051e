import type { Timers } from "../time/timers.js";
import type { ModelNeeds } from "./model-needs.js";
import type { PlacedEngine } from "./placed-engine.js";
import { placementValue } from "./placement-value.js";

/** Demand is averaged over this time, so that a burst of seconds moves nothing. */
const SMOOTHING_MS = 10_000;
/** Least time between two loads of an engine. */
const INTERVAL_MS = 60_000;
/** At most one load per engine on average within this time. */
const BUDGET_MS = 180_000;
/** Loads are decided at most this far ahead of the weight store, so that engines stay in use. */
const AHEAD_MS = 5_000;
/**
 * Least gain of a load, in capacities of the engine weighted by tier: 10% of an engine for the most
 * urgent work, 80% for work outside of targets.
 */
const LEAST_GAIN = 0.8;
/**
 * A load must gain this many times what the evicted models lose. Two models that both lack engines
 * would otherwise take them from each other whenever noise moves their demand.
 */
const LOSS_FACTOR = 1.5;
const MS_PER_SECOND = 1_000;

/** A load that placement wants. */
export interface Move {
  readonly engine: string;
  readonly model: string;
  /** What the engine holds afterwards. */
  readonly held: readonly string[];
  /** Why the load must wait; undefined if it may be ordered now. */
  readonly obstacle: string | undefined;
}

interface Candidate extends Move {
  readonly gain: number;
}

interface Parts {
  readonly timers: Timers;
  /** Rate of the weight store; unlimited if undefined. */
  readonly bytesPerSecond: number | undefined;
}

/** Decides which models engines hold from the demand, one load at a time. */
export class Placement {
  private needs = new Map<string, number[]>();
  private observedAt = -Infinity;
  private readonly movedAt = new Map<string, number>();
  private moves: number[] = [];
  private storeFreeAt = 0;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): Placement {
    return new Placement(parts);
  }

  /** Treats the engines as loaded just now; for a decider that doesn't know the last loads. */
  takeOver(engines: readonly string[]): void {
    const now = this.parts.timers.now();
    for (const engine of engines) this.movedAt.set(engine, now);
  }

  /** Takes the present demand into the average. */
  observe(needs: ModelNeeds): void {
    const now = this.parts.timers.now();
    const kept = Math.exp((this.observedAt - now) / SMOOTHING_MS);
    const models = new Set([...needs.keys(), ...this.needs.keys()]);
    this.needs = new Map(
      [...models].map((model) => {
        const before = this.needs.get(model) ?? [];
        const present = needs.get(model) ?? before.map(() => 0);
        return [model, present.map((need, at) => need + kept * ((before[at] ?? 0) - need))];
      }),
    );
    this.observedAt = now;
  }

  /** The load with the largest gain, or undefined if none gains enough. */
  next(engines: readonly PlacedEngine[], bytes: ReadonlyMap<string, number>): Move | undefined {
    const now = this.parts.timers.now();
    const value = placementValue(engines, this.needs);
    let best: Candidate | undefined;
    const seen = new Set<string>();
    for (const [at, engine] of engines.entries()) {
      const obstacle = this.obstacle(engine, engines.length, now);
      const { held, models, capacity, memoryBytes } = engine;
      // Engines that are alike give the same gain, so that one of each kind is enough.
      const kind = JSON.stringify([held, models, capacity, memoryBytes, obstacle]);
      if (seen.has(kind)) continue;
      seen.add(kind);
      for (const model of models) {
        const after = this.heldWith(engine, model, bytes);
        if (after === undefined) continue;
        const valueWith = (models: readonly string[]): number =>
          placementValue(engines.with(at, { ...engine, held: models }), this.needs);
        const stripped = valueWith(held.filter((other) => after.includes(other)));
        const gain = valueWith(after) - stripped;
        if (gain < LEAST_GAIN * capacity + LOSS_FACTOR * (value - stripped)) continue;
        const candidate = { engine: engine.id, model, held: after, obstacle, gain };
        if (best === undefined || isBetter(candidate, best)) best = candidate;
      }
    }
    return best;
  }

  /** Notes that a load was ordered. */
  ordered({ engine }: Move, bytes: number): void {
    const now = this.parts.timers.now();
    this.movedAt.set(engine, now);
    this.moves.push(now);
    const { bytesPerSecond } = this.parts;
    const loadMs = bytesPerSecond === undefined ? 0 : (bytes / bytesPerSecond) * MS_PER_SECOND;
    this.storeFreeAt = Math.max(this.storeFreeAt, now) + loadMs;
  }

  /** Takes back a load whose plan was not accepted by the table. */
  withdraw({ engine }: Move): void {
    this.movedAt.delete(engine);
    this.moves.pop();
  }

  private obstacle(engine: PlacedEngine, engines: number, now: number): string | undefined {
    if (this.storeFreeAt > now + AHEAD_MS) return "the weight store is busy";
    // Nothing is evicted from an empty engine, so that its load can't thrash.
    if (engine.held.length === 0) return undefined;
    const movedAt = this.movedAt.get(engine.id) ?? -Infinity;
    if (now - movedAt < INTERVAL_MS) return `the last load is less than ${INTERVAL_MS} ms ago`;
    this.moves = this.moves.filter((at) => now - at < BUDGET_MS);
    if (this.moves.length >= engines) return "the budget of loads is used up";
    return undefined;
  }

  /** The models after a load, without those least in demand that don't fit any more. */
  private heldWith(
    engine: PlacedEngine,
    model: string,
    bytes: ReadonlyMap<string, number>,
  ): string[] | undefined {
    const { held, memoryBytes } = engine;
    if (held.includes(model)) return undefined;
    if (memoryBytes === undefined) return [model];
    let room = memoryBytes - (bytes.get(model) ?? 0);
    if (room < 0) return undefined;
    const after = [model];
    for (const other of [...held].sort((a, b) => this.total(b) - this.total(a))) {
      const size = bytes.get(other) ?? 0;
      if (size > room) continue;
      room -= size;
      after.push(other);
    }
    return after;
  }

  private total(model: string): number {
    return (this.needs.get(model) ?? []).reduce((sum, need) => sum + need, 0);
  }
}

/** A load that may be ordered now goes before one that must wait. */
function isBetter(one: Candidate, other: Candidate): boolean {
  const mayNow = one.obstacle === undefined;
  if (mayNow !== (other.obstacle === undefined)) return mayNow;
  return one.gain > other.gain;
}
