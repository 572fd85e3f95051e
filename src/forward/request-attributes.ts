import type { PromptPart } from "./prompt-part.js";

/** What a caller's request says of itself beside method, path and body. */
export interface RequestAttributes {
  readonly attemptId: string;
  /** Time that the caller waits, in ms; undefined if it does not tell. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  readonly promptParts: readonly PromptPart[];
  /** Number of pieces of each stage; 0 omits the stage. */
  readonly pieces: readonly number[];
  readonly pieceKey: string | undefined;
  /** Id of the last event that the caller received of an earlier answer. */
  readonly lastEventId: string | undefined;
}
