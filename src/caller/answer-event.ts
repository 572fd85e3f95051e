import type { Problem } from "../error/problem.js";

/** One event of an answer. */
export type AnswerEvent =
  | { readonly kind: "token"; readonly text: string }
  /** The answer of a pipeline that ends with a plain service. */
  | { readonly kind: "result"; readonly body: unknown }
  /** The answer is whole: its length in bytes and its SHA-256 in hex. */
  | { readonly kind: "end"; readonly length: number; readonly digest: string }
  | { readonly kind: "error"; readonly problem: Problem };
