import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";

/** The begin or the end of an evacuation as known to this instance. */
export interface EvacuationChange {
  readonly dataCentre: string;
  readonly evacuated: boolean;
}

type Handler = (changes: readonly EvacuationChange[]) => void;

/** The data centres whose upstreams must get nothing, as the operator wants it. */
export class Evacuations {
  /** When each evacuation in force began at this instance, on the monotonic clock in ms. */
  private readonly begun = new Map<string, number>();
  private readonly ended = new Map<string, number>();
  /** Pending ends of evacuations that are kept for a time. */
  private readonly pendingEnds = new Map<string, Subscription>();
  private readonly handlers = new Set<Handler>();

  private constructor(private readonly timers: Timers) {}

  static create(parts: { timers: Timers }): Evacuations {
    return new Evacuations(parts.timers);
  }

  /** The evacuated data centres in alphabetical order. */
  get dataCentres(): readonly string[] {
    return [...this.begun.keys()].sort();
  }

  isEvacuated(dataCentre: string): boolean {
    return this.begun.has(dataCentre);
  }

  /** When the evacuation in force began here, on the monotonic clock; undefined if none is. */
  begunMs(dataCentre: string): number | undefined {
    return this.begun.get(dataCentre);
  }

  /** When the last evacuation that is over ended here; undefined if there was none. */
  endedMs(dataCentre: string): number | undefined {
    return this.ended.get(dataCentre);
  }

  /** Calls `handler` after evacuations began or ended. */
  subscribe(handler: Handler): Subscription {
    this.handlers.add(handler);
    return { cancel: () => void this.handlers.delete(handler) };
  }

  /**
   * Applies changes in order. An evacuation that is no longer wanted ends after `keptMs`, unless it
   * is wanted again within that time.
   */
  apply(changes: readonly EvacuationChange[], keptMs: number): void {
    const effective = changes.filter(({ dataCentre, evacuated }) => {
      if (evacuated) return this.begin(dataCentre);
      if (keptMs <= 0) return this.end(dataCentre);
      this.endLater(dataCentre, keptMs);
      return false;
    });
    this.notify(effective);
  }

  private begin(dataCentre: string): boolean {
    this.cancelEnd(dataCentre);
    if (this.begun.has(dataCentre)) return false;
    this.begun.set(dataCentre, this.timers.now());
    return true;
  }

  private end(dataCentre: string): boolean {
    this.cancelEnd(dataCentre);
    if (!this.begun.delete(dataCentre)) return false;
    this.ended.set(dataCentre, this.timers.now());
    return true;
  }

  private endLater(dataCentre: string, keptMs: number): void {
    if (!this.begun.has(dataCentre) || this.pendingEnds.has(dataCentre)) return;
    const timer = this.timers.after(keptMs, () => {
      if (this.end(dataCentre)) this.notify([{ dataCentre, evacuated: false }]);
    });
    this.pendingEnds.set(dataCentre, timer);
  }

  private cancelEnd(dataCentre: string): void {
    this.pendingEnds.get(dataCentre)?.cancel();
    this.pendingEnds.delete(dataCentre);
  }

  private notify(changes: readonly EvacuationChange[]): void {
    if (changes.length === 0) return;
    for (const handler of this.handlers) handler(changes);
  }
}
