import type { PromptPart } from "../forward/prompt-part.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { EngineLoad } from "./engine-load.js";
import type { EngineSpeeds } from "./engine-speeds.js";
import type { KeptParts } from "./kept-parts.js";

/** Assumed speed of reading; the speeds of engines are measured as multiples of it. */
const TOKENS_PER_MS = 35;
/** Assumed time until the first event beside waiting and reading, in ms. */
const BASE_MS = 60;

interface Parts {
  readonly engineLoad: EngineLoad;
  readonly engineSpeeds: EngineSpeeds;
  readonly keptParts: KeptParts;
}

/** Forecasts how long engines take until the first event of a request. */
export class EngineForecast {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): EngineForecast {
    return new EngineForecast(parts);
  }

  /**
   * Time to read what the engine does not keep, at the assumed speed, in ms. `assumeKept` tells
   * whether requests of other instances have brought the shared parts there.
   */
  readMs(engine: UpstreamEntry, promptParts: readonly PromptPart[], assumeKept: boolean): number {
    const known = this.parts.keptParts.count(engine, promptParts);
    const kept = assumeKept ? Math.max(known, promptParts.length - 1) : known;
    return tokensOf(promptParts.slice(kept)) / TOKENS_PER_MS;
  }

  /** Time to read what no other request has, at the usual speed, in ms. */
  ownReadMs(promptParts: readonly PromptPart[]): number {
    const factor = this.parts.engineSpeeds.usualFactor;
    return (tokensOf(promptParts.slice(-1)) / TOKENS_PER_MS) * factor;
  }

  /** Time to read the shared parts that the engine does not keep, at its speed, in ms. */
  rereadMs(engine: UpstreamEntry, promptParts: readonly PromptPart[]): number {
    const { keptParts, engineSpeeds } = this.parts;
    const unread = promptParts.slice(keptParts.count(engine, promptParts), -1);
    return (tokensOf(unread) / TOKENS_PER_MS) * engineSpeeds.usualFactor;
  }

  /** Assumed time until the first event for a prompt that is read in `readMs`, in ms. */
  assumedMs(engine: UpstreamEntry, readMs: number): number {
    return BASE_MS + this.parts.engineLoad.waitMs(engine) + readMs;
  }

  /** Expected time until the first event for a prompt that is read in `readMs`, in ms. */
  expectedMs(engine: UpstreamEntry, readMs: number): number {
    const { engineSpeeds } = this.parts;
    const factor = engineSpeeds.usualFactor * engineSpeeds.factor(engine.id);
    return this.assumedMs(engine, readMs) * factor;
  }
}

function tokensOf(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
