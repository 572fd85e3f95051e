/** What one attempt of a stage cost. */
export interface StageCost {
  readonly stage: string;
  readonly service: string;
  /** Time from dispatch to the end of the attempt, in ms. */
  readonly durationMs: number;
  /** Relative cost of the link to the upstream's data centre. */
  readonly linkCost: number;
  /** Whether the attempt was a retry or a hedge. */
  readonly extra: boolean;
}
