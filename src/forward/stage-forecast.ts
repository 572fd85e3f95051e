import { DecayedSum } from "../admission/decayed-sum.js";
import type { Timers } from "../time/timers.js";
import type { StageCapacity } from "./service-definition.js";
import { fullCallMs, piecesPerMs } from "./stage-pace.js";
import type { WaitingWork } from "./stage-queue.js";
import { type StageWaits, WAIT_RANKS } from "./stage-wait.js";

/** Window of the rate of arrivals; a few calls long, and short against a burst of seconds. */
const WINDOW_MS = 1_500;
/** Time from the end of a call until an engine has read its results and they are released. */
const HELD_MS = 350;
/** Least part of the throughput that is left to a rank while more urgent ones arrive. */
const LEAST_SHARE = 0.1;

/** What a forecast is made from. */
export interface ForecastInput {
  readonly capacity: StageCapacity;
  /** Upstreams that take calls. */
  readonly upstreams: number;
  /** Time of a call, relative to the time that the capacity states. */
  readonly ratio: number;
  readonly allBusy: boolean;
  /** By rank, the waiting work of the rank and all more urgent ones. */
  readonly ahead: readonly WaitingWork[];
}

/**
 * Foretells how long new pieces of each rank wait. Answers the load pattern of a flood of one class
 * beyond the capacity of a stage, in which work that waits too long is lost after its first stages.
 */
export class StageForecast {
  private readonly arrivals: readonly DecayedSum[];

  private constructor(private readonly timers: Timers) {
    this.arrivals = Array.from({ length: WAIT_RANKS }, () =>
      DecayedSum.create(WINDOW_MS, timers.now()),
    );
  }

  static create(timers: Timers): StageForecast {
    return new StageForecast(timers);
  }

  /** Notes pieces of a new submission. */
  arrived(rank: number, pieces: number): void {
    this.arrivals[Math.min(rank, WAIT_RANKS - 1)]?.add(pieces, this.timers.now());
  }

  waits(input: ForecastInput): StageWaits {
    const { capacity, upstreams, ratio } = input;
    const fullMs = ratio * fullCallMs(capacity);
    const rate = piecesPerMs(capacity, upstreams) / ratio;
    const bytesPerMs = (upstreams * capacity.resultBytes) / (fullMs + HELD_MS);
    const busyMs = input.allBusy ? fullMs / (upstreams * capacity.callsAtOnce + 1) : 0;
    const small: number[] = [];
    const bulky: number[] = [];
    const now = this.timers.now();
    let urgentPerMs = 0;
    for (let rank = 0; rank < WAIT_RANKS; rank += 1) {
      const share = Math.max(LEAST_SHARE, 1 - urgentPerMs / rate);
      const { pieces, bytes } = input.ahead[rank] ?? { pieces: 0, bytes: 0 };
      const smallMs = busyMs + pieces / (rate * share);
      small.push(Math.round(smallMs));
      bulky.push(Math.round(Math.max(smallMs, busyMs + bytes / (bytesPerMs * share))));
      urgentPerMs += this.arrivals[rank]?.rate(now) ?? 0;
    }
    return { small, bulky };
  }
}
