/** One piece of a stage of a request, as it is sent in a call to an upstream. */
export interface StagePiece {
  readonly attemptId: string;
  readonly stage: number;
  readonly piece: number;
  readonly leftMs: number;
  /** Set for stages that need no results of other stages. */
  readonly key?: string;
  /** Handles of all results that the stage needs. */
  readonly inputs?: readonly string[];
}
