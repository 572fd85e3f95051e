import { DecayedSum } from "../admission/decayed-sum.js";
import type { Timers } from "../time/timers.js";
import type { StageCapacity } from "./service-definition.js";
import { fullCallMs, piecesPerMs } from "./stage-timing.js";
import type { QueuedWork } from "./stage-queue.js";
import { type StageWaits, TRACKED_RANKS } from "./stage-wait.js";

/** Window of the arrival rate; a few calls long, and short compared with a burst of seconds. */
const ARRIVAL_WINDOW_MS = 1_500;
/** Time from the end of a call until its results have been read by an engine and released. */
const RESULT_HOLD_MS = 350;
/** Minimum share of the throughput left to a rank while more urgent pieces arrive. */
const MIN_SHARE = 0.1;

/** Input of a forecast. */
export interface ForecastInput {
  readonly capacity: StageCapacity;
  /** Upstreams that take calls. */
  readonly upstreams: number;
  /** Time of a call, relative to the time that the capacity states. */
  readonly callTimeRatio: number;
  readonly allBusy: boolean;
  /** By rank, the waiting work of the rank and all more urgent ones. */
  readonly workByRank: readonly QueuedWork[];
}

/**
 * Predicts how long new pieces of each rank wait. When one class overloads a stage, work that waits
 * too long is wasted after its first stages; admission uses the forecast to refuse it earlier.
 */
export class StageWaitForecast {
  private readonly arrivals: readonly DecayedSum[];

  private constructor(private readonly timers: Timers) {
    this.arrivals = Array.from({ length: TRACKED_RANKS }, () =>
      DecayedSum.create(ARRIVAL_WINDOW_MS, timers.now()),
    );
  }

  static create(timers: Timers): StageWaitForecast {
    return new StageWaitForecast(timers);
  }

  /** Adds the pieces of a new submission to the arrival rate of its rank. */
  recordArrival(rank: number, pieces: number): void {
    this.arrivals[Math.min(rank, TRACKED_RANKS - 1)]?.add(pieces, this.timers.now());
  }

  waits(input: ForecastInput): StageWaits {
    const { capacity, upstreams, callTimeRatio } = input;
    const fullMs = callTimeRatio * fullCallMs(capacity);
    const rate = piecesPerMs(capacity, upstreams) / callTimeRatio;
    const bytesPerMs = (upstreams * capacity.resultBytes) / (fullMs + RESULT_HOLD_MS);
    const busyMs = input.allBusy ? fullMs / (upstreams * capacity.maxCalls + 1) : 0;
    const small: number[] = [];
    const bulky: number[] = [];
    const now = this.timers.now();
    let urgentPerMs = 0;
    for (let rank = 0; rank < TRACKED_RANKS; rank += 1) {
      const share = Math.max(MIN_SHARE, 1 - urgentPerMs / rate);
      const { pieces, bytes } = input.workByRank[rank] ?? { pieces: 0, bytes: 0 };
      const smallMs = busyMs + pieces / (rate * share);
      small.push(Math.round(smallMs));
      bulky.push(Math.round(Math.max(smallMs, busyMs + bytes / (bytesPerMs * share))));
      urgentPerMs += this.arrivals[rank]?.rate(now) ?? 0;
    }
    return { small, bulky };
  }
}
