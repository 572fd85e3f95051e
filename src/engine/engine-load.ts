import type { Timers } from "../time/timers.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { LoadedEngine } from "./load-digest.js";
import { RecentValue } from "./recent-value.js";
import { SharedFigures } from "./shared-figures.js";

/** Weight of the newest request in the mean time that a request takes. */
const SMOOTHING_FACTOR = 0.05;
/** Time that a request takes at an engine until the first one has ended, in ms. */
const INITIAL_RUN_MS = 400;
/** Engines that an instance states its own requests for; the most loaded ones. */
const MAX_OWN = 8;
/** Engines that an instance passes on the sums of; the most loaded ones. */
const MAX_SUMS = 16;
/** Time for which the sums are used again; far below the time until they are told again. */
const SUMS_LIFETIME_MS = 50;
/** Load below which an engine is not worth a message: about one request. */
const MIN_TOLD_WAIT_MS = 150;
const MIN_TOLD_RUNNING = 4;
/** Requests of other instances at an engine from which one is most likely being read. */
const MIN_READING_RUNNING = 2;

interface OwnLoad {
  /** Time in which a usual engine reads the prompts that have had no event yet, in ms. */
  readMs: number;
  running: number;
}

/** The load of engines: own requests, and those of other instances as far as they are known. */
export class EngineLoad {
  private readonly own = new Map<string, OwnLoad>();
  /** An engine reads on while the figure travels. */
  private readonly readMs: SharedFigures;
  private readonly running: SharedFigures;
  private meanRunMs = INITIAL_RUN_MS;
  private readonly sums: RecentValue<LoadedEngine[]>;

  private constructor(timers: Timers) {
    this.sums = RecentValue.create(timers, SUMS_LIFETIME_MS, () => this.computeSums());
    this.readMs = SharedFigures.create(timers, (value, ageMs) => value - ageMs);
    this.running = SharedFigures.create(timers, (value, ageMs) =>
      ageMs < this.meanRunMs ? value : (value * this.meanRunMs) / ageMs,
    );
  }

  static create(parts: { timers: Timers }): EngineLoad {
    return new EngineLoad(parts.timers);
  }

  /** Expected time until an engine begins to read one more prompt, as at a usual engine, in ms. */
  waitMs({ id, slots }: Pick<UpstreamEntry, "id" | "slots">): number {
    const own = this.own.get(id);
    const running = (own?.running ?? 0) + this.running.others(id);
    const excess = Math.max(0, running + 1 - Math.max(1, slots));
    const readMs = (own?.readMs ?? 0) + this.readMs.others(id);
    return readMs + (excess * this.meanRunMs) / Math.max(1, slots);
  }

  /** Whether the engine may be reading prompts: it has some, or several requests of others. */
  mayRead(id: string): boolean {
    const own = this.own.get(id)?.readMs ?? 0;
    if (own > 0 || this.readMs.others(id) > 0) return true;
    return this.running.others(id) >= MIN_READING_RUNNING;
  }

  begin(id: string, readMs: number): void {
    const own = this.own.get(id) ?? { readMs: 0, running: 0 };
    own.readMs += readMs;
    own.running += 1;
    this.own.set(id, own);
  }

  /** Records that a prompt was read, or its request has ended before. */
  endRead(id: string, readMs: number): void {
    const own = this.own.get(id);
    if (own !== undefined) own.readMs = Math.max(0, own.readMs - readMs);
  }

  end(id: string, runMs: number): void {
    this.meanRunMs += SMOOTHING_FACTOR * (runMs - this.meanRunMs);
    const own = this.own.get(id);
    if (own === undefined) return;
    own.running -= 1;
    if (own.running <= 0) this.own.delete(id);
  }

  /** What this instance states of its own requests. */
  ownEngines(): LoadedEngine[] {
    return mostLoaded(
      [...this.own].map(([id, { readMs, running }]) => [id, Math.round(readMs), running]),
      MAX_OWN,
    );
  }

  /** What this instance knows of all but `instance`. */
  sumsFor(instance: string): LoadedEngine[] {
    const sums: LoadedEngine[] = [];
    for (const [id, allReadMs, allRunning] of this.sums.get()) {
      const readMs = Math.round(allReadMs - this.readMs.reportedBy(instance, id));
      const running = Math.round(allRunning - this.running.reportedBy(instance, id));
      if (readMs > 0 || running > 0) sums.push([id, Math.max(0, readMs), Math.max(0, running)]);
    }
    return sums;
  }

  recordReport(instance: string, engines: readonly LoadedEngine[]): void {
    this.readMs.recordReport(
      instance,
      engines.map(([id, readMs]) => [id, readMs]),
    );
    this.running.recordReport(
      instance,
      engines.map(([id, , running]) => [id, running]),
    );
  }

  recordSums(instance: string, engines: readonly LoadedEngine[]): void {
    this.readMs.recordSums(
      instance,
      engines.map(([id, readMs]) => [id, readMs]),
    );
    this.running.recordSums(
      instance,
      engines.map(([id, , running]) => [id, running]),
    );
  }

  private computeSums(): LoadedEngine[] {
    const sums: LoadedEngine[] = [];
    for (const id of new Set([...this.own.keys(), ...this.running.reportedKeys])) {
      const own = this.own.get(id);
      const readMs = (own?.readMs ?? 0) + this.readMs.reported(id);
      const running = (own?.running ?? 0) + this.running.reported(id);
      if (readMs >= MIN_TOLD_WAIT_MS || running >= MIN_TOLD_RUNNING)
        sums.push([id, readMs, running]);
    }
    return mostLoaded(sums, MAX_SUMS);
  }
}

function mostLoaded(engines: LoadedEngine[], count: number): LoadedEngine[] {
  if (engines.length <= count) return engines;
  return engines.sort((a, b) => b[1] - a[1] || b[2] - a[2]).slice(0, count);
}
