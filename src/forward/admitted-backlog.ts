import type { Timers } from "../time/timers.js";
import { TRACKED_RANKS } from "./stage-wait.js";

interface ServiceBacklog {
  /** Admitted pieces by rank that are probably not done yet, by the throughput of the service. */
  readonly pieces: number[];
  drainedAtMs: number;
}

/**
 * Estimates the admitted work that later stages have not done yet. A burst can pass the first stage
 * faster than later stages can serve it, while their queues are still short when it is admitted.
 */
export class AdmittedBacklog {
  private readonly services = new Map<string, ServiceBacklog>();

  private constructor(
    private readonly timers: Timers,
    private readonly piecesPerMs: (service: string) => number,
  ) {}

  /** `piecesPerMs` returns the throughput of a service. */
  static create(timers: Timers, piecesPerMs: (service: string) => number): AdmittedBacklog {
    return new AdmittedBacklog(timers, piecesPerMs);
  }

  add(service: string, rank: number, pieces: number): void {
    const backlog = this.drain(service);
    const trackedRank = Math.min(rank, TRACKED_RANKS - 1);
    backlog.pieces[trackedRank] = (backlog.pieces[trackedRank] ?? 0) + pieces;
  }

  /** Time in ms until the pieces of the rank and all more urgent ones are done. */
  waitMs(service: string, rank: number): number {
    const rate = this.piecesPerMs(service);
    if (rate <= 0) return 0;
    const piecesAhead = this.drain(service).pieces.slice(0, rank + 1);
    return piecesAhead.reduce((sum, pieces) => sum + pieces, 0) / rate;
  }

  private drain(service: string): ServiceBacklog {
    const now = this.timers.now();
    const backlog = this.services.get(service) ?? {
      pieces: Array.from({ length: TRACKED_RANKS }, () => 0),
      drainedAtMs: now,
    };
    this.services.set(service, backlog);
    let drainable = (now - backlog.drainedAtMs) * this.piecesPerMs(service);
    backlog.drainedAtMs = now;
    for (const [rank, pieces] of backlog.pieces.entries()) {
      const drained = Math.min(drainable, pieces);
      backlog.pieces[rank] = pieces - drained;
      drainable -= drained;
    }
    return backlog;
  }
}
