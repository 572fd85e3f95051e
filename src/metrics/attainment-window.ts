import type { Timers } from "../time/timers.js";

const SLICE_MS = 10_000;
const SLICES = 30;

/** Attainment of one class over the window. */
export interface ClassAttainment {
  readonly className: string;
  readonly requests: number;
  /** Requests answered whole and within the target time. */
  readonly attained: number;
  /** Mean time to the end of the attained answers, in ms; 0 if there are none. */
  readonly meanMs: number;
}

interface Slice {
  readonly number: number;
  readonly classes: Map<string, { requests: number; attained: number; totalMs: number }>;
}

/** Counts per class over the last five minutes, in slices so that old requests drop out. */
export class AttainmentWindow {
  private slices: readonly Slice[] = [];

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): AttainmentWindow {
    return new AttainmentWindow(timers);
  }

  add(className: string, attained: boolean, durationMs: number): void {
    const counts = this.current().classes;
    const count = counts.get(className) ?? { requests: 0, attained: 0, totalMs: 0 };
    count.requests += 1;
    count.attained += attained ? 1 : 0;
    count.totalMs += attained ? durationMs : 0;
    counts.set(className, count);
  }

  /** One entry per class that had requests. */
  classes(): ClassAttainment[] {
    const sums = new Map<string, { requests: number; attained: number; totalMs: number }>();
    this.current();
    for (const [className, count] of this.slices.flatMap((slice) => [...slice.classes])) {
      const sum = sums.get(className) ?? { requests: 0, attained: 0, totalMs: 0 };
      sum.requests += count.requests;
      sum.attained += count.attained;
      sum.totalMs += count.totalMs;
      sums.set(className, sum);
    }
    return [...sums].map(([className, { requests, attained, totalMs }]) => ({
      className,
      requests,
      attained,
      meanMs: attained === 0 ? 0 : totalMs / attained,
    }));
  }

  private current(): Slice {
    const number = Math.floor(this.timers.now() / SLICE_MS);
    const last = this.slices.at(-1);
    if (last?.number === number) return last;
    const slice = { number, classes: new Map() };
    this.slices = [...this.slices.filter((one) => one.number > number - SLICES), slice];
    return slice;
  }
}
