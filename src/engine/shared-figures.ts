import type { Timers } from "../time/timers.js";

/** Time after which a figure of another instance is dropped. */
const LIFETIME_MS = 3_000;

/** A figure by key. */
export type FigureEntry = readonly [key: string, value: number];

/** What is left of a figure after some time, in ms. */
export type Decay = (value: number, ageMs: number) => number;

interface Figure {
  readonly value: number;
  readonly atMs: number;
}

type FiguresByKey = Map<string, Map<string, Figure>>;

/** Figures of other instances by key: what they state of themselves, and sums that they know. */
export class SharedFigures {
  private readonly reports: FiguresByKey = new Map();
  private readonly sums: FiguresByKey = new Map();
  private sweptMs: number;

  private constructor(
    private readonly timers: Timers,
    private readonly decay: Decay,
  ) {
    this.sweptMs = timers.now();
  }

  static create(timers: Timers, decay: Decay): SharedFigures {
    return new SharedFigures(timers, decay);
  }

  /** Replaces what an instance states of its own. */
  recordReport(instance: string, entries: readonly FigureEntry[]): void {
    this.replace(this.reports, instance, entries);
  }

  /** Replaces what an instance knows of all others but this one. */
  recordSums(instance: string, entries: readonly FigureEntry[]): void {
    this.replace(this.sums, instance, entries);
  }

  /**
   * The figure of the other instances. Sums of two instances overlap, so that the largest one is
   * the closest lower bound.
   */
  others(key: string): number {
    let highest = this.reported(key);
    const now = this.timers.now();
    for (const figure of this.sums.get(key)?.values() ?? [])
      highest = Math.max(highest, this.left(figure, now));
    return highest;
  }

  /** Sum of what the instances state of their own, without that of `except`. */
  reported(key: string, except?: string): number {
    let sum = 0;
    const now = this.timers.now();
    for (const [instance, figure] of this.reports.get(key) ?? [])
      if (instance !== except) sum += this.left(figure, now);
    return sum;
  }

  /** Keys of all that the instances state of their own. */
  get reportedKeys(): Iterable<string> {
    return this.reports.keys();
  }

  private left({ value, atMs }: Figure, now: number): number {
    const ageMs = now - atMs;
    return ageMs > LIFETIME_MS ? 0 : Math.max(0, this.decay(value, ageMs));
  }

  private replace(figures: FiguresByKey, instance: string, entries: readonly FigureEntry[]): void {
    const atMs = this.timers.now();
    this.sweep(atMs);
    const stated = new Map(entries);
    for (const [key, byInstance] of figures)
      if (!stated.has(key) && byInstance.delete(instance) && byInstance.size === 0)
        figures.delete(key);
    for (const [key, value] of stated) {
      const byInstance = figures.get(key) ?? new Map<string, Figure>();
      byInstance.set(instance, { value, atMs });
      figures.set(key, byInstance);
    }
  }

  /** Drops what ended instances stated. */
  private sweep(now: number): void {
    if (now - this.sweptMs < LIFETIME_MS) return;
    this.sweptMs = now;
    for (const figures of [this.reports, this.sums]) {
      for (const [key, byInstance] of figures) {
        for (const [instance, { atMs }] of byInstance)
          if (now - atMs > LIFETIME_MS) byInstance.delete(instance);
        if (byInstance.size === 0) figures.delete(key);
      }
    }
  }
}
