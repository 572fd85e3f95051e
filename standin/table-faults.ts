/** Faults of the stand-in table; set by `POST /control`. */
export interface TableFaults {
  /** Every request fails with status 503 and has no effect. */
  readonly down: boolean;
  /** Requests are accepted and never answered. */
  readonly frozen: boolean;
  /** Delay of each answer in ms. */
  readonly delayMs: number;
  /** Number of coming transactions that take effect but whose answer is lost. */
  readonly loseAnswers: number;
  /** Delay in ms between the arrival of a transaction and its effect. */
  readonly effectDelayMs: number;
  /** Most transaction writes per second; others are throttled. */
  readonly writesPerSecond: number;
  /** Whether that limit counts a transaction as one write. */
  readonly countTransactions: boolean;
}

export const noTableFaults: TableFaults = {
  down: false,
  frozen: false,
  delayMs: 0,
  loseAnswers: 0,
  effectDelayMs: 0,
  writesPerSecond: Number.MAX_SAFE_INTEGER,
  countTransactions: false,
};
