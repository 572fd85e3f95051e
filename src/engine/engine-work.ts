import type { PromptPart } from "../forward/prompt-part.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { Timers } from "../time/timers.js";
import type { EngineLoad } from "./engine-load.js";
import type { EngineSpeeds } from "./engine-speeds.js";
import type { KeptParts } from "./kept-parts.js";
import type { PlacementReason } from "./placement-reason.js";

/** Share of the assumed time after which a request without an event tells of a slow engine. */
const OVERDUE_FACTOR = 2;

interface Parts {
  readonly timers: Timers;
  readonly engineLoad: EngineLoad;
  readonly engineSpeeds: EngineSpeeds;
  readonly keptParts: KeptParts;
}

/** What is to be read, and how long that was assumed to take when it was sent, in ms. */
export interface EngineTask {
  readonly entry: UpstreamEntry;
  readonly promptParts: readonly PromptPart[];
  readonly readMs: number;
  readonly assumedMs: number;
  /** Undefined if it was sent there for another reason than the choice by expected time. */
  readonly reason: PlacementReason | undefined;
}

/** A request at an engine, from its dispatch to its end. */
export class EngineWork {
  private readonly startedMs: number;
  private readonly expectedMs: number;
  private answeredMs: number | undefined;
  private reading = true;

  private constructor(
    private readonly parts: Parts,
    private readonly task: EngineTask,
  ) {
    this.startedMs = parts.timers.now();
    const { entry, readMs, assumedMs } = task;
    const { engineLoad, engineSpeeds } = parts;
    this.expectedMs = assumedMs * engineSpeeds.usualFactor * engineSpeeds.factor(entry.id);
    engineLoad.begin(entry.id, readMs);
  }

  static create(parts: Parts, task: EngineTask): EngineWork {
    return new EngineWork(parts, task);
  }

  /** Records the first event. */
  answer(): void {
    if (!this.reading) return;
    const { entry, promptParts, assumedMs } = this.task;
    const { engineSpeeds, keptParts } = this.parts;
    this.endRead();
    this.answeredMs = this.elapsedMs;
    keptParts.record(entry, promptParts);
    engineSpeeds.record(entry.id, this.elapsedMs / assumedMs);
  }

  end(): void {
    const { entry, assumedMs } = this.task;
    const { engineSpeeds, engineLoad } = this.parts;
    if (this.reading) {
      this.endRead();
      const factor = this.elapsedMs / assumedMs;
      if (factor > OVERDUE_FACTOR * engineSpeeds.usualFactor) engineSpeeds.record(entry.id, factor);
    }
    engineLoad.end(entry.id, this.elapsedMs);
  }

  /** Fields of the log line about the attempt; empty if no choice led to it. */
  get fields(): Readonly<Record<string, unknown>> {
    const { reason } = this.task;
    if (reason === undefined) return {};
    const { expectedMs, answeredMs } = this;
    return {
      placed: reason,
      expectedMs: Math.round(expectedMs),
      ...(answeredMs === undefined ? {} : { firstMs: Math.round(answeredMs) }),
    };
  }

  private endRead(): void {
    this.reading = false;
    this.parts.engineLoad.endRead(this.task.entry.id, this.task.readMs);
  }

  private get elapsedMs(): number {
    return this.parts.timers.now() - this.startedMs;
  }
}
