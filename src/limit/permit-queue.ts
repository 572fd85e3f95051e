import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import { PERMIT_LIFETIME_MS } from "./permit.js";

/** Window in which the number of requests must not exceed the limit by more than one. */
const WINDOW_MS = 4_000;
/** Lateness of a timer after which the next grant is still made on time. */
const TIMER_TOLERANCE_MS = 10;
/** Part of the limit that is granted, so that permits used late do not exceed it in a window. */
const GRANTED_FRACTION = WINDOW_MS / (WINDOW_MS + PERMIT_LIFETIME_MS + TIMER_TOLERANCE_MS);
/** An upstream that accepts nothing gets this rate, as only a response tells that this has ended. */
const MIN_PER_SECOND = 0.1;
const MS_PER_SECOND = 1_000;
/** Bounds the wait that is told while no permits may be granted. */
const MAX_AVAILABLE_IN_MS = 10_000;
/** Teams whose last turn is remembered. */
const MAX_TEAMS = 1_024;

/** Who waits for a permit, and for how long. */
export interface PermitApplicant {
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly team: string;
  readonly maxWaitMs: number;
}

/** Decision on one request for a permit. */
export type PermitDecision =
  | { readonly kind: "granted"; readonly grantedMs: number; readonly waitedMs: number }
  | { readonly kind: "refused"; readonly availableInMs: number };

interface Waiting extends PermitApplicant {
  readonly arrivedMs: number;
  readonly decide: (decision: PermitDecision) => void;
}

/** Requests per second that are granted now; undefined if none may be granted. */
export type PermitRate = () => number | undefined;

/**
 * Grants the permits of one upstream at an even pace: by rank, then in turn to the teams that wait
 * (start-time fair queueing), then by arrival. Unused permits do not add up.
 */
export class PermitQueue {
  private waiting: Waiting[] = [];
  /** Earliest tag of the next grant by team; a team that did not wait begins at the current tag. */
  private readonly nextTags = new Map<string, number>();
  private currentTag = 0;
  /** A full pace passes before the first grant, as others may have sent a request just before. */
  private lastGrantMs: number;
  private timer: Subscription | undefined;

  private constructor(
    private readonly timers: Timers,
    private readonly rate: PermitRate,
  ) {
    this.lastGrantMs = timers.now();
  }

  static create(timers: Timers, rate: PermitRate): PermitQueue {
    return new PermitQueue(timers, rate);
  }

  /** Applies a changed rate to what waits. */
  applyRate(): void {
    this.refuseLate();
    this.schedule();
  }

  /** Waits for a permit as long as one can be granted in time; resolves at once otherwise. */
  request(applicant: PermitApplicant): Promise<PermitDecision> {
    const arrivedMs = this.timers.now();
    if (this.waiting.length === 0 && arrivedMs >= this.nextGrantMs) {
      return Promise.resolve(this.grant({ ...applicant, arrivedMs }));
    }
    return new Promise((decide) => {
      this.waiting.push({ ...applicant, arrivedMs, decide });
      this.applyRate();
    });
  }

  /** Refuses all that wait; `availableInMs` is when to ask again. */
  refuseAll(availableInMs: number): void {
    const { waiting } = this;
    this.waiting = [];
    this.timer?.cancel();
    for (const { decide } of waiting) decide({ kind: "refused", availableInMs });
  }

  /** Time between two grants; infinite if none may be granted. */
  private get intervalMs(): number {
    const perSecond = this.rate();
    if (perSecond === undefined) return Infinity;
    return MS_PER_SECOND / (GRANTED_FRACTION * Math.max(MIN_PER_SECOND, perSecond));
  }

  private get nextGrantMs(): number {
    return this.lastGrantMs + this.intervalMs;
  }

  private grant({ team, arrivedMs }: Pick<Waiting, "team" | "arrivedMs">): PermitDecision {
    const now = this.timers.now();
    this.lastGrantMs = Math.max(this.nextGrantMs, now - TIMER_TOLERANCE_MS);
    this.currentTag = this.nextTag(team);
    this.nextTags.delete(team);
    this.nextTags.set(team, this.currentTag + 1);
    if (this.nextTags.size > MAX_TEAMS) {
      const [oldest = ""] = this.nextTags.keys();
      this.nextTags.delete(oldest);
    }
    return { kind: "granted", grantedMs: now, waitedMs: now - arrivedMs };
  }

  /** Refuses at once all that would have to wait longer than they can, in the order of grants. */
  private refuseLate(): void {
    const { intervalMs } = this;
    const now = this.timers.now();
    let grantMs = Math.max(now, this.nextGrantMs);
    this.sort();
    this.waiting = this.waiting.filter(({ arrivedMs, maxWaitMs, decide }) => {
      if (grantMs > arrivedMs + maxWaitMs) {
        decide({ kind: "refused", availableInMs: Math.min(grantMs - now, MAX_AVAILABLE_IN_MS) });
        return false;
      }
      grantMs += intervalMs;
      return true;
    });
  }

  private sort(): void {
    this.waiting.sort((a, b) => a.rank - b.rank || a.arrivedMs - b.arrivedMs);
    const tags = new Map<Waiting, number>();
    const waitingOfTeam = new Map<string, number>();
    for (const each of this.waiting) {
      const earlier = waitingOfTeam.get(each.team) ?? 0;
      waitingOfTeam.set(each.team, earlier + 1);
      tags.set(each, this.nextTag(each.team) + earlier);
    }
    this.waiting.sort((a, b) => a.rank - b.rank || (tags.get(a) ?? 0) - (tags.get(b) ?? 0));
  }

  private nextTag(team: string): number {
    return Math.max(this.currentTag, this.nextTags.get(team) ?? 0);
  }

  private schedule(): void {
    this.timer?.cancel();
    if (this.waiting.length === 0) return;
    const delayMs = Math.max(0, this.nextGrantMs - this.timers.now());
    this.timer = this.timers.after(delayMs, () => {
      this.grantNext();
    });
  }

  private grantNext(): void {
    // The process may have been paused, and the right to grant lost meanwhile.
    this.refuseLate();
    if (this.timers.now() >= this.nextGrantMs) {
      const [first, ...others] = this.waiting;
      this.waiting = others;
      if (first !== undefined) first.decide(this.grant(first));
    }
    this.schedule();
  }
}
