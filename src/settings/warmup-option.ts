import type { FrontSettings } from "./front-settings.js";
import { parseNumberPair } from "./number-pair.js";

/**
 * Parses "factor,slack", what a cold upstream bears. Undefined without one of the two; throws
 * `InvalidSettings` if the text is malformed.
 */
export function parseWarmupOption(text: string): FrontSettings["bounds"]["warmup"] {
  const [factor, slack] = parseNumberPair("warmup", text);
  return factor === undefined || slack === undefined ? undefined : { factor, slack };
}
