import type { Timers } from "../time/timers.js";
import { MAX_ID_LENGTH } from "./load-digest.js";
import { RecentValue } from "./recent-value.js";
import { type FigureEntry, SharedFigures } from "./shared-figures.js";

/** Time over which work of a part is averaged, in ms. */
const AVERAGING_MS = 1_000;
/** Share of a home's time that one part may take before it gets a further home. */
const MAX_SHARE = 0.5;
/** Share below which a home is taken back. */
const MIN_SHARE = 0.3;
export const MAX_HOMES = 4;
/** Parts remembered; far above the parts that one instance sees within the averaging time. */
const MAX_PARTS = 1_024;
const MAX_OWN = 8;
const MAX_SUMS = 8;
/** Time for which the sums are used again; far below the time until they are told again. */
const SUMS_LIFETIME_MS = 50;
/** Share of an engine below which a part is not worth a message to all. */
const MIN_TOLD_SHARE = 0.15;
const DIGITS = 3;

interface OwnDemand {
  /** Work in ms, decayed to `atMs`. */
  workMs: number;
  atMs: number;
  homes: number;
}

/** How much work the parts of prompts bring, and how many engines keep each. */
export class PartDemand {
  /** By part, most recently used last. */
  private readonly own = new Map<string, OwnDemand>();
  private readonly shared: SharedFigures;
  private readonly sums: RecentValue<FigureEntry[]>;

  private constructor(private readonly timers: Timers) {
    this.shared = SharedFigures.create(timers, (value, ageMs) => decayed(value, ageMs));
    this.sums = RecentValue.create(timers, SUMS_LIFETIME_MS, () => this.computeSums());
  }

  static create(parts: { timers: Timers }): PartDemand {
    return new PartDemand(parts.timers);
  }

  /** Records a request; `workMs` is the time that its home needs for it. */
  record(part: string, workMs: number): void {
    if (part.length > MAX_ID_LENGTH) return;
    const atMs = this.timers.now();
    const before = this.own.get(part);
    this.own.delete(part);
    for (const oldest of this.own.keys()) {
      if (this.own.size < MAX_PARTS) break;
      this.own.delete(oldest);
    }
    const left = before === undefined ? 0 : decayed(before.workMs, atMs - before.atMs);
    this.own.set(part, { workMs: left + workMs, atMs, homes: before?.homes ?? 1 });
  }

  /**
   * Number of engines that keep the part, and whether it has changed. It changes late, so that a
   * part at the limit stays where it is.
   */
  homes(part: string): { homes: number; changed: boolean } {
    const own = this.own.get(part);
    const share = this.ownShare(part) + this.shared.others(part);
    const least = Math.min(MAX_HOMES, Math.max(1, Math.ceil(share / MAX_SHARE)));
    const most = Math.min(MAX_HOMES, Math.max(1, Math.ceil(share / MIN_SHARE)));
    const before = own?.homes ?? 1;
    const homes = Math.max(least, Math.min(before, most));
    if (own !== undefined) own.homes = homes;
    return { homes, changed: homes !== before };
  }

  ownParts(): FigureEntry[] {
    const now = this.timers.now();
    const recent: FigureEntry[] = [];
    for (const [part, { workMs, atMs }] of [...this.own].slice(-MAX_SUMS * MAX_OWN))
      if (now - atMs < AVERAGING_MS) recent.push([part, rounded(workMs / AVERAGING_MS)]);
    return highest(recent, MAX_OWN);
  }

  /** What this instance knows of all but `instance`. */
  sumsFor(instance: string): FigureEntry[] {
    return this.sums.get().map(([part, sum]) => {
      const others = Math.max(0, sum - this.shared.reportedBy(instance, part));
      return [part, rounded(others)];
    });
  }

  recordReport(instance: string, parts: readonly FigureEntry[]): void {
    this.shared.recordReport(instance, parts);
  }

  recordSums(instance: string, parts: readonly FigureEntry[]): void {
    this.shared.recordSums(instance, parts);
  }

  private computeSums(): FigureEntry[] {
    const sums: FigureEntry[] = [];
    for (const part of this.shared.reportedKeys) {
      const sum = this.ownShare(part) + this.shared.reported(part);
      if (sum >= MIN_TOLD_SHARE) sums.push([part, sum]);
    }
    return highest(sums, MAX_SUMS);
  }

  private ownShare(part: string): number {
    const own = this.own.get(part);
    if (own === undefined) return 0;
    return decayed(own.workMs, this.timers.now() - own.atMs) / AVERAGING_MS;
  }
}

function decayed(value: number, ageMs: number): number {
  return value * Math.exp(-ageMs / AVERAGING_MS);
}

function rounded(value: number): number {
  return Number(value.toPrecision(DIGITS));
}

function highest(figures: FigureEntry[], count: number): FigureEntry[] {
  if (figures.length <= count) return figures;
  return figures.sort((a, b) => b[1] - a[1]).slice(0, count);
}
