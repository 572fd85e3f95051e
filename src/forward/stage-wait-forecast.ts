import { DecayedSum } from "../admission/decayed-sum.js";
import type { Timers } from "../time/timers.js";
import type { StageCapacity } from "./service-definition.js";
import { CALL_FILL_FRACTION, fullCallMs, piecesPerMs } from "./stage-timing.js";
import type { QueuedWork } from "./stage-queue.js";
import { type StageWaits, TRACKED_RANKS } from "./stage-wait.js";

/** Window of the arrival rate: a few calls, and short compared with bursts of several seconds. */
const ARRIVAL_WINDOW_MS = 1_500;
/** Time from the end of a call until an engine has read its results and they are released. */
const RESULT_HOLD_MS = 350;
/** Minimum share of the throughput that a rank is assumed to get beside more urgent arrivals. */
const MIN_SHARE = 0.1;

/** Input of a forecast. */
export interface ForecastInput {
  readonly capacity: StageCapacity;
  /** Upstreams that take calls. */
  readonly upstreams: number;
  /** Measured time of a call relative to the time by the capacity. */
  readonly callTimeRatio: number;
  readonly allBusy: boolean;
  /** By rank, the waiting work of the rank and all more urgent ones. */
  readonly workByRank: readonly QueuedWork[];
}

/**
 * Predicts how long new pieces of each rank wait. When requests of one rank overload a stage, those
 * that wait too long waste the work of their earlier stages; admission uses the forecast to refuse
 * them sooner.
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
    const rate = (CALL_FILL_FRACTION * piecesPerMs(capacity, upstreams)) / callTimeRatio;
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
