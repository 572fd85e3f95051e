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

interface Figures {
  /** By key and instance. */
  readonly byKey: Map<string, Map<string, Figure>>;
  readonly keysOf: Map<string, readonly string[]>;
}

/** Figures of other instances by key: what they state of themselves, and sums that they know. */
export class SharedFigures {
  private readonly reports: Figures = { byKey: new Map(), keysOf: new Map() };
  private readonly sums: Figures = { byKey: new Map(), keysOf: new Map() };
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
    for (const figure of this.sums.byKey.get(key)?.values() ?? [])
      highest = Math.max(highest, this.left(figure, now));
    return highest;
  }

  /** Sum of what the instances state of their own. */
  reported(key: string): number {
    let sum = 0;
    const now = this.timers.now();
    for (const figure of this.reports.byKey.get(key)?.values() ?? []) sum += this.left(figure, now);
    return sum;
  }

  /** What an instance states of its own. */
  reportedBy(instance: string, key: string): number {
    const figure = this.reports.byKey.get(key)?.get(instance);
    return figure === undefined ? 0 : this.left(figure, this.timers.now());
  }

  /** Keys of all that the instances state of their own. */
  get reportedKeys(): Iterable<string> {
    return this.reports.byKey.keys();
  }

  private left({ value, atMs }: Figure, now: number): number {
    const ageMs = now - atMs;
    return ageMs > LIFETIME_MS ? 0 : Math.max(0, this.decay(value, ageMs));
  }

  private replace(
    { byKey, keysOf }: Figures,
    instance: string,
    entries: readonly FigureEntry[],
  ): void {
    const atMs = this.timers.now();
    this.sweep(atMs);
    for (const key of keysOf.get(instance) ?? []) {
      const byInstance = byKey.get(key);
      byInstance?.delete(instance);
      if (byInstance?.size === 0) byKey.delete(key);
    }
    keysOf.delete(instance);
    if (entries.length > 0)
      keysOf.set(
        instance,
        entries.map(([key]) => key),
      );
    for (const [key, value] of entries) {
      const byInstance = byKey.get(key) ?? new Map<string, Figure>();
      byInstance.set(instance, { value, atMs });
      byKey.set(key, byInstance);
    }
  }

  /** Drops what ended instances stated. */
  private sweep(now: number): void {
    if (now - this.sweptMs < LIFETIME_MS) return;
    this.sweptMs = now;
    for (const { byKey, keysOf } of [this.reports, this.sums]) {
      for (const [key, byInstance] of byKey) {
        for (const [instance, { atMs }] of byInstance)
          if (now - atMs > LIFETIME_MS) {
            byInstance.delete(instance);
            keysOf.delete(instance);
          }
        if (byInstance.size === 0) byKey.delete(key);
      }
    }
  }
}
