/** One piece of a stage of a request, as a call to an upstream names it. */
export interface StagePiece {
  readonly attemptId: string;
  readonly stage: number;
  readonly piece: number;
  readonly leftMs: number;
  /** Set for stages that need no results of others. */
  readonly key?: string;
  /** Handles of all results that the stage needs. */
  readonly inputs?: readonly string[];
}
