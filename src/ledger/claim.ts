/** The right of one request to dispatch its non-idempotent work. */
export interface Claim {
  /** Stores the answer; keeps trying in the background while the table is unavailable. */
  finish(answer: string): Promise<void>;
  /** Gives the claim up after the request was abandoned before dispatch; returns at once. */
  release(): void;
}
