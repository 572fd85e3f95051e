import type { Timers } from "../time/timers.js";
import { RecentValue } from "./recent-value.js";
import type { FigureEntry } from "./shared-figures.js";

/** Time after which measurements no longer count, except those of slow engines. */
const LIFETIME_MS = 8_000;
/** Time after which a slow engine that got no probe is forgotten; it may be gone for good. */
const SLOW_MEMORY_MS = 600_000;
/**
 * The lowest of this many measurements tells the speed: other prompts that are read lengthen some of
 * them, and nothing makes an engine look faster than it is. With fewer it counts as usual.
 */
const SAMPLES = 4;
/** Factors beyond these tell of waits rather than of speed. */
const MIN_FACTOR = 0.2;
const MAX_FACTOR = 3;
/** Smallest step of the usual factor for one measurement, as a logarithm. */
const USUAL_STEP = 0.02;
/** Factor from which an engine counts as slow, and below which it no longer does. */
const SLOW_FACTOR = 1.6;
const SOUND_FACTOR = 1.3;
/** Measurements that another instance has not been told yet. */
const MAX_PENDING = 32;
const MAX_SAMPLES = 8;
const MAX_SLOW = 40;
/** Time for which the list of slow engines is used again, as it changes late. */
const SLOW_LIFETIME_MS = 100;
const DIGITS = 3;

interface Speed {
  /** Logarithms of the last measurements. */
  readonly logFactors: number[];
  /** Whether the engine was slow when the measurements before these expired: one is enough. */
  readonly wasSlow: boolean;
  atMs: number;
}

interface ToldSpeed {
  readonly factor: number;
  readonly atMs: number;
  readonly instance: string;
}

/**
 * How much longer each engine takes than the usual one, from the times between events of this
 * instance's streams and of those of instances that tell it theirs.
 */
export class EngineSpeeds {
  private readonly measured = new Map<string, Speed>();
  private readonly told = new Map<string, ToldSpeed>();
  private readonly slow = new Set<string>();
  private readonly pending: FigureEntry[] = [];
  /** When another instance last told figures, by instance. */
  private readonly heardMs = new Map<string, number>();
  private sampleCount = 0;
  private ownCount = 0;
  /** Logarithm of the median of all measurements. */
  private usualLog = 0;

  private readonly slowList: RecentValue<FigureEntry[]>;

  private constructor(private readonly timers: Timers) {
    this.slowList = RecentValue.create(timers, SLOW_LIFETIME_MS, () => this.computeSlow());
  }

  static create(parts: { timers: Timers }): EngineSpeeds {
    return new EngineSpeeds(parts.timers);
  }

  /** Number of the newest own measurement. */
  get newest(): number {
    return this.ownCount;
  }

  /** Records an own measurement: the time taken as a multiple of the assumed one. */
  record(id: string, factor: number): void {
    const bounded = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
    this.ownCount += 1;
    this.pending.push([id, Number(bounded.toPrecision(DIGITS))]);
    if (this.pending.length > MAX_PENDING) this.pending.shift();
    this.add(id, bounded);
  }

  /** Records measurements of another instance. */
  recordSamples(samples: readonly FigureEntry[]): void {
    for (const [id, factor] of samples)
      this.add(id, Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor)));
  }

  /** Records which engines another instance found slow, from measurements of many. */
  recordSlow(instance: string, slow: readonly FigureEntry[]): void {
    const atMs = this.timers.now();
    this.heardMs.set(instance, atMs);
    for (const [id, factor] of slow) this.told.set(id, { factor, atMs, instance });
    for (const [id, { atMs: toldMs }] of this.told)
      if (atMs - toldMs > SLOW_MEMORY_MS) this.told.delete(id);
    for (const [teller, heardMs] of this.heardMs)
      if (atMs - heardMs > SLOW_MEMORY_MS) this.heardMs.delete(teller);
  }

  /** Time that an engine takes as a multiple of the usual one. */
  factor(id: string): number {
    const now = this.timers.now();
    const measured = this.measuredFactor(id, now);
    if (measured !== undefined) return measured;
    const told = this.told.get(id);
    if (told === undefined || now - told.atMs > SLOW_MEMORY_MS) return 1;
    // An instance that tells nothing at all may have ended or be cut off.
    const heardMs = this.heardMs.get(told.instance) ?? told.atMs;
    return heardMs - told.atMs < LIFETIME_MS / 2 ? told.factor : 1;
  }

  /** Whether an engine is much slower than the usual one. It changes late. */
  isSlow(id: string): boolean {
    const factor = this.factor(id);
    if (factor >= SLOW_FACTOR) this.slow.add(id);
    else if (factor < SOUND_FACTOR) this.slow.delete(id);
    return this.slow.has(id);
  }

  /** Own measurements after the one with number `after`. */
  samplesAfter(after: number): FigureEntry[] {
    const count = Math.min(this.ownCount - after, MAX_SAMPLES, this.pending.length);
    return count <= 0 ? [] : this.pending.slice(-count);
  }

  /** The slow engines; told figures are not passed on, as they would never end. */
  slowEngines(): FigureEntry[] {
    return this.slowList.get();
  }

  private computeSlow(): FigureEntry[] {
    const now = this.timers.now();
    const slow: FigureEntry[] = [];
    for (const [id, { atMs }] of this.measured) {
      const measured = this.measuredFactor(id, now);
      if (measured === undefined && now - atMs > LIFETIME_MS) {
        this.measured.delete(id);
        continue;
      }
      const factor = measured ?? 1;
      if (factor >= SOUND_FACTOR) slow.push([id, Number(factor.toPrecision(DIGITS))]);
    }
    return slow.sort((a, b) => b[1] - a[1]).slice(0, MAX_SLOW);
  }

  private measuredFactor(id: string, now: number): number | undefined {
    const speed = this.measured.get(id);
    if (speed === undefined) return undefined;
    const { logFactors, wasSlow, atMs } = speed;
    if (logFactors.length < SAMPLES && !wasSlow) return undefined;
    const factor = Math.exp(Math.min(...logFactors) - this.usualLog);
    if (now - atMs <= LIFETIME_MS) return factor;
    const remembered = now - atMs <= SLOW_MEMORY_MS && this.slow.has(id) && factor >= SOUND_FACTOR;
    return remembered ? factor : undefined;
  }

  private add(id: string, factor: number): void {
    const atMs = this.timers.now();
    const logFactor = Math.log(factor);
    this.sampleCount += 1;
    const step = Math.max(USUAL_STEP, 1 / (2 + this.sampleCount));
    this.usualLog += logFactor > this.usualLog ? step : -step;
    let speed = this.measured.get(id);
    if (speed === undefined || atMs - speed.atMs > LIFETIME_MS) {
      const wasSlow = speed !== undefined && this.measuredFactor(id, atMs) !== undefined;
      speed = { logFactors: [], wasSlow, atMs };
      this.measured.set(id, speed);
    }
    speed.atMs = atMs;
    speed.logFactors.push(logFactor);
    if (speed.logFactors.length > SAMPLES) speed.logFactors.shift();
    if (logFactor - this.usualLog < Math.log(SOUND_FACTOR)) this.told.delete(id);
    this.isSlow(id);
  }
}
