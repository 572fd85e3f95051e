import type { PromptPart } from "../../src/forward/prompt-part.js";
import type { Timers } from "../../src/time/timers.js";

const TOKENS_PER_MS = 39.3;
const FIRST_EVENT_MS = 40;
const EVENTS = 4;
const EVENT_INTERVAL_MS = 25;
/** How much longer the time between events is while another prompt is read. */
const READING_FACTOR = 5;

/** What a simulated engine reports of a request. */
export interface SimulatedRun {
  readonly onEvent: () => void;
  readonly onEnd: () => void;
}

/** An engine that reads prompts one after the other and keeps their parts. */
export class SimulatedEngine {
  /** Time that it takes as a multiple of the usual one. */
  factor = 1;
  inProgress = 0;
  mostInProgress = 0;
  requests = 0;
  rereadTokens = 0;
  private busyUntilMs = 0;
  private readonly kept = new Set<string>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): SimulatedEngine {
    return new SimulatedEngine(timers);
  }

  run(parts: readonly PromptPart[], { onEvent, onEnd }: SimulatedRun): void {
    const now = this.timers.now();
    this.requests += 1;
    this.inProgress += 1;
    this.mostInProgress = Math.max(this.mostInProgress, this.inProgress);
    let tokens = 0;
    for (const [at, part] of parts.entries()) {
      if (this.kept.has(part.id)) continue;
      this.kept.add(part.id);
      tokens += part.tokens;
      if (at < parts.length - 1) this.rereadTokens += part.tokens;
    }
    this.busyUntilMs = Math.max(now, this.busyUntilMs) + (tokens / TOKENS_PER_MS) * this.factor;
    const firstMs = this.busyUntilMs - now + FIRST_EVENT_MS * this.factor;
    let left = EVENTS;
    const next = (): void => {
      if (left === 0) {
        this.inProgress -= 1;
        onEnd();
        return;
      }
      left -= 1;
      onEvent();
      const reading = this.busyUntilMs > this.timers.now();
      this.timers.after(EVENT_INTERVAL_MS * this.factor * (reading ? READING_FACTOR : 1), next);
    };
    this.timers.after(firstMs, next);
  }
}
