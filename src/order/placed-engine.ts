/** An engine as placement sees it. */
export interface PlacedEngine {
  readonly id: string;
  /** Models that it may hold. */
  readonly models: readonly string[];
  /** Memory for weights; undefined if it holds one model at a time. */
  readonly memoryBytes: number | undefined;
  /** Work that it serves, in ms of service time per second. */
  readonly capacity: number;
  /** Models that the plan gives it. */
  readonly held: readonly string[];
}
