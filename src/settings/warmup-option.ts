import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { FrontSettings } from "./front-settings.js";

const NUMBER = /^\d+(?:\.\d+)?$/;

/**
 * Parses "factor,slack", what a cold upstream bears. Undefined without one of the two; throws
 * `InvalidSettings` if the text is malformed.
 */
export function parseWarmupOption(text: string): FrontSettings["bounds"]["warmup"] {
  const words = text.split(",").map((word) => word.trim());
  const [factor = "", slack = ""] = words;
  if (words.length !== 2 || [factor, slack].some((word) => word !== "" && !NUMBER.test(word)))
    throw ServeError.create(
      ErrorKind.InvalidSettings,
      `warmup: must be a factor and a slack, separated by a comma: "${text}"`,
    );
  if (factor === "" || slack === "") return undefined;
  return { factor: Number(factor), slack: Number(slack) };
}
