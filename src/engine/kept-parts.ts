import type { PromptPart } from "../forward/prompt-part.js";
import type { Timers } from "../time/timers.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";

/** Far above the parts that this instance's requests have in some seconds. */
const MAX_PARTS = 8_192;
/** Time after which a part that was not used again may have yielded to others. */
const LIFETIME_MS = 30_000;

type EngineProcess = Pick<UpstreamEntry, "id" | "startedMs">;

/** The parts of prompts that engines have read for this instance. */
export class KeptParts {
  /** Time of the last use by engine and part, most recently used last. */
  private readonly used = new Map<string, number>();

  private constructor(private readonly timers: Timers) {}

  static create(parts: { timers: Timers }): KeptParts {
    return new KeptParts(parts.timers);
  }

  record(engine: EngineProcess, parts: readonly PromptPart[]): void {
    const now = this.timers.now();
    for (const part of parts) {
      const key = keyOf(engine, part);
      this.used.delete(key);
      this.used.set(key, now);
    }
    for (const oldest of this.used.keys()) {
      if (this.used.size <= MAX_PARTS) break;
      this.used.delete(oldest);
    }
  }

  /** Number of leading parts that the engine keeps. */
  count(engine: EngineProcess, parts: readonly PromptPart[]): number {
    const earliestMs = this.timers.now() - LIFETIME_MS;
    const first = parts.findIndex(
      (part) => (this.used.get(keyOf(engine, part)) ?? -Infinity) < earliestMs,
    );
    return first === -1 ? parts.length : first;
  }
}

function keyOf({ id, startedMs }: EngineProcess, part: PromptPart): string {
  return `${id} ${startedMs} ${part.id}`;
}
