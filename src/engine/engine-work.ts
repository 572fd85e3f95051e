import type { PromptPart } from "../forward/prompt-part.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { Timers } from "../time/timers.js";
import type { EngineForecast } from "./engine-forecast.js";
import type { EngineLoad } from "./engine-load.js";
import type { EngineSpeeds } from "./engine-speeds.js";
import type { KeptParts } from "./kept-parts.js";
import type { PlacementReason } from "./placement-reason.js";

/** Typical time between events; speeds are ratios between engines only. */
const USUAL_INTERVAL_MS = 25;
/** Intervals from which the speed is told; the lower median leaves out waits for other prompts. */
const MIN_INTERVALS = 2;
const MAX_INTERVALS = 16;
/** Multiple of the expected time after which a request without an event tells of a slow engine. */
const OVERDUE_FACTOR = 4;

interface Parts {
  readonly timers: Timers;
  readonly engineLoad: EngineLoad;
  readonly engineSpeeds: EngineSpeeds;
  readonly keptParts: KeptParts;
  readonly forecast: EngineForecast;
}

/** What is to be read, and the expected time until the first event when it was sent, in ms. */
export interface EngineTask {
  readonly entry: UpstreamEntry;
  readonly promptParts: readonly PromptPart[];
  readonly readMs: number;
  readonly expectedMs: number;
  /** Whether the answer comes in events. */
  readonly streamed: boolean;
  /** Undefined if it was sent there for another reason than the choice by expected time. */
  readonly reason: PlacementReason | undefined;
}

/** A request at an engine, from its dispatch to its end. */
export class EngineWork {
  private readonly startedMs: number;
  private readonly intervals: number[] = [];
  private firstMs: number | undefined;
  private lastMs = 0;
  private readingAtLast = false;
  private broken = false;

  private constructor(
    private readonly parts: Parts,
    private readonly task: EngineTask,
  ) {
    this.startedMs = parts.timers.now();
    parts.engineLoad.begin(task.entry.id, task.readMs);
  }

  static create(parts: Parts, task: EngineTask): EngineWork {
    return new EngineWork(parts, task);
  }

  /** Records that events have arrived. */
  answer(): void {
    const { entry, expectedMs } = this.task;
    const { forecast, engineLoad } = this.parts;
    const { elapsedMs } = this;
    if (this.firstMs === undefined) {
      this.recordRead();
      forecast.recordFirstEvent(expectedMs, elapsedMs);
      this.readingAtLast = true;
    }
    // While another prompt is read, the time between events does not tell the speed.
    const reading = engineLoad.mayRead(entry.id);
    if (!reading && !this.readingAtLast && this.intervals.length < MAX_INTERVALS)
      this.intervals.push(elapsedMs - this.lastMs);
    this.readingAtLast = reading;
    this.lastMs = elapsedMs;
  }

  /** Records the head of an answer; unless events follow, the prompt was read before. */
  answerHead(): void {
    if (this.task.streamed || this.firstMs !== undefined) return;
    this.recordRead();
  }

  /** Records that the answer was broken off, or was none. */
  breakOff(): void {
    this.broken = true;
  }

  end(): void {
    const { entry, readMs, expectedMs, streamed } = this.task;
    const { engineSpeeds, engineLoad } = this.parts;
    const { elapsedMs, intervals } = this;
    if (this.firstMs === undefined) {
      engineLoad.endRead(entry.id, readMs);
      // The run time of a whole answer does not tell when the first event was due.
      const overdue = elapsedMs > OVERDUE_FACTOR * expectedMs;
      if (overdue && (streamed || this.broken)) engineSpeeds.record(entry.id, OVERDUE_FACTOR);
    } else if (intervals.length >= MIN_INTERVALS) {
      intervals.sort((a, b) => a - b);
      const median = intervals[Math.floor((intervals.length - 1) / 2)] ?? USUAL_INTERVAL_MS;
      engineSpeeds.record(entry.id, median / USUAL_INTERVAL_MS);
    }
    engineLoad.end(entry.id, elapsedMs);
  }

  /** Fields of the log line about the attempt; empty if no choice led to it. */
  get fields(): Readonly<Record<string, unknown>> {
    const { reason, expectedMs } = this.task;
    if (reason === undefined) return {};
    return {
      placed: reason,
      expectedMs: Math.round(expectedMs),
      ...(this.firstMs === undefined ? {} : { firstMs: Math.round(this.firstMs) }),
    };
  }

  private recordRead(): void {
    const { entry, promptParts, readMs } = this.task;
    const { keptParts, engineLoad } = this.parts;
    this.firstMs = this.elapsedMs;
    engineLoad.endRead(entry.id, readMs);
    keptParts.record(entry, promptParts);
  }

  private get elapsedMs(): number {
    return this.parts.timers.now() - this.startedMs;
  }
}
