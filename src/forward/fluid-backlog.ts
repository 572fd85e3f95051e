import type { Timers } from "../time/timers.js";
import { WAIT_RANKS } from "./stage-wait.js";

interface Backlog {
  /** Pieces by rank that were admitted and are not done yet, as far as the rate tells. */
  readonly pieces: number[];
  drainedMs: number;
}

/**
 * Admitted work that has not reached its later stages yet. Answers the load pattern of a burst that
 * passes the first stage faster than later ones can serve it, where their queues are still short at
 * the time of the decision.
 */
export class FluidBacklog {
  private readonly services = new Map<string, Backlog>();

  private constructor(
    private readonly timers: Timers,
    private readonly piecesPerMs: (service: string) => number,
  ) {}

  /** `piecesPerMs` is what the upstreams of a service make in full calls. */
  static create(timers: Timers, piecesPerMs: (service: string) => number): FluidBacklog {
    return new FluidBacklog(timers, piecesPerMs);
  }

  add(service: string, rank: number, pieces: number): void {
    const backlog = this.drained(service);
    const at = Math.min(rank, WAIT_RANKS - 1);
    backlog.pieces[at] = (backlog.pieces[at] ?? 0) + pieces;
  }

  /** Time in ms until the pieces of the rank and all more urgent ones are done. */
  waitMs(service: string, rank: number): number {
    const rate = this.piecesPerMs(service);
    if (rate <= 0) return 0;
    const ahead = this.drained(service).pieces.slice(0, rank + 1);
    return ahead.reduce((sum, pieces) => sum + pieces, 0) / rate;
  }

  private drained(service: string): Backlog {
    const now = this.timers.now();
    const backlog = this.services.get(service) ?? {
      pieces: Array.from({ length: WAIT_RANKS }, () => 0),
      drainedMs: now,
    };
    this.services.set(service, backlog);
    let done = (now - backlog.drainedMs) * this.piecesPerMs(service);
    backlog.drainedMs = now;
    for (const [rank, pieces] of backlog.pieces.entries()) {
      const part = Math.min(done, pieces);
      backlog.pieces[rank] = pieces - part;
      done -= part;
    }
    return backlog;
  }
}
