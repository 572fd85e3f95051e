import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";

const NUMBER = /^\d+(?:\.\d+)?$/;

/** Two numbers of the command line; undefined where nothing is stated. */
export type NumberPair = readonly [first: number | undefined, second: number | undefined];

/** Parses "first,second"; throws `InvalidSettings` that names the option if it is malformed. */
export function parseNumberPair(option: string, text: string): NumberPair {
  const words = text.split(",").map((word) => word.trim());
  const [first = "", second = ""] = words;
  if (words.length !== 2 || [first, second].some((word) => word !== "" && !NUMBER.test(word)))
    throw ServeError.create(
      ErrorKind.InvalidSettings,
      `${option}: must be two numbers, separated by a comma: "${text}"`,
    );
  return [numberOf(first), numberOf(second)];
}

function numberOf(word: string): number | undefined {
  return word === "" ? undefined : Number(word);
}
