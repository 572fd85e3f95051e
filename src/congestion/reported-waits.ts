import type { Timers } from "../time/timers.js";

/** A wait in ms that an owner reported `ageMs` ago. */
export interface ReportedWait {
  readonly ms: number;
  readonly ageMs: number;
}

interface Report {
  readonly ms: number;
  readonly measuredAtMs: number;
}

/**
 * The newest waits at later stages that the submitters of a queue know of. Each submitter hears
 * only of its own few submissions, too seldom to follow a burst; the owner of the first stage gets
 * the submissions of all of them. Answers a burst that passes the first stage and piles up at a
 * later one that is slower than its capacity promises.
 */
export class ReportedWaits {
  private readonly reports = new Map<string, Report>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): ReportedWaits {
    return new ReportedWaits(timers);
  }

  /** Keeps the report if it is newer than the known one for the key. */
  record(key: string, { ms, ageMs }: ReportedWait): void {
    const measuredAtMs = this.timers.now() - Math.max(0, ageMs);
    const known = this.reports.get(key);
    if (known === undefined || known.measuredAtMs < measuredAtMs)
      this.reports.set(key, { ms, measuredAtMs });
  }

  /** Estimated wait in ms; 0 if nothing is known. Assumes that queues drain between reports. */
  waitMs(key: string): number {
    const report = this.reports.get(key);
    if (report === undefined) return 0;
    return Math.max(0, report.ms - (this.timers.now() - report.measuredAtMs));
  }
}
