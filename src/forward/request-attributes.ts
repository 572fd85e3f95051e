import type { PromptPart } from "./prompt-part.js";

/** Attributes of a caller's request that its headers state. */
export interface RequestAttributes {
  readonly attemptId: string;
  /** Time for which the caller waits, in ms; undefined if not stated. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  readonly promptParts: readonly PromptPart[];
  /** Number of pieces of each stage; 0 omits the stage. */
  readonly pieces: readonly number[];
  readonly pieceKey: string | undefined;
  /** ID of the last event that the caller received from an earlier response. */
  readonly lastEventId: string | undefined;
  /** Attempt of the caller that brought the first event of the stream that this request resumes. */
  readonly resumes: string | undefined;
}
