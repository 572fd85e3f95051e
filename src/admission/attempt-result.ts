import type { ErrorKind } from "../error/error-kind.js";

/** How an attempt ended; given back with its slot. */
export type AttemptResult =
  | {
      readonly kind: "succeeded";
      /** Time from dispatch to the whole answer, in ms. */
      readonly durationMs: number;
      /** Time from dispatch to the first token or to the answer, in ms. */
      readonly firstByteMs: number;
    }
  | { readonly kind: "failed"; readonly error: ErrorKind; readonly durationMs: number }
  | { readonly kind: "cancelled" };
