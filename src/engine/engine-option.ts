import type { UpstreamEntry } from "../forward/upstream-entry.js";

/** An engine that may get a request. */
export interface EngineOption {
  readonly entry: UpstreamEntry;
  /** Expected time from the dispatch until the first event, in ms. */
  readonly expectedMs: number;
  /** Assumed time to read the prompt, in ms. */
  readonly readMs: number;
  /** Time of that in which the engine reads parts that another engine keeps, in ms. */
  readonly rereadMs: number;
  readonly slow: boolean;
  /** Whether it has reached the share of its slots that is left to this instance. */
  readonly full: boolean;
}
