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

/** Share of the shared parts that a home is assumed to read if it is not known to keep them. */
const UNKNOWN_SHARE = 0.5;
/** Step of the correction for one measurement, as a factor. */
const CORRECTION_STEP = 1.04;
const MIN_CORRECTION = 0.5;
const MAX_CORRECTION = 2;

/** Above the memory of an engine, which declines larger prompts. */
const MAX_TOKENS = 500_000;

/** Forecasts how long engines take until the first event of a request. */
export class EngineForecast {
  /** Median of the measured times as multiples of the expected ones. */
  private correction = 1;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): EngineForecast {
    return new EngineForecast(parts);
  }

  /**
   * Time to read what the engine does not keep, at the assumed speed, in ms. `isHome` tells
   * whether requests of other instances bring the shared parts there.
   */
  readMs(engine: UpstreamEntry, promptParts: readonly PromptPart[], isHome: boolean): number {
    const known = this.parts.keptParts.count(engine, promptParts);
    const own = tokensOf(promptParts.slice(Math.max(known, promptParts.length - 1)));
    const shared = tokensOf(promptParts.slice(known, -1));
    return (own + (isHome ? UNKNOWN_SHARE : 1) * shared) / TOKENS_PER_MS;
  }

  /** Time to read what no other request has, at the usual speed, in ms. */
  ownReadMs(promptParts: readonly PromptPart[]): number {
    return (tokensOf(promptParts.slice(-1)) / TOKENS_PER_MS) * this.correction;
  }

  /** Time to read the shared parts that the engine does not keep, at its speed, in ms. */
  rereadMs(engine: UpstreamEntry, promptParts: readonly PromptPart[]): number {
    const unread = promptParts.slice(this.parts.keptParts.count(engine, promptParts), -1);
    return (tokensOf(unread) / TOKENS_PER_MS) * this.correction;
  }

  /** Expected time until the first event for a prompt that is read in `readMs`, in ms. */
  expectedMs(engine: UpstreamEntry, readMs: number): number {
    const { engineSpeeds, engineLoad } = this.parts;
    const usualMs = BASE_MS + engineLoad.waitMs(engine) + readMs;
    return usualMs * engineSpeeds.factor(engine.id) * this.correction;
  }

  /** Records the time until a first event that was expected after `expectedMs`. */
  recordFirstEvent(expectedMs: number, actualMs: number): void {
    const corrected =
      this.correction * (actualMs > expectedMs ? CORRECTION_STEP : 1 / CORRECTION_STEP);
    this.correction = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, corrected));
  }
}

/** Callers state the tokens, and may state anything. */
function tokensOf(parts: readonly PromptPart[]): number {
  const sum = parts.reduce((total, { tokens }) => total + Math.max(0, tokens), 0);
  return Math.min(MAX_TOKENS, sum);
}
