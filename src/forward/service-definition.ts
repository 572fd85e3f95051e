/** Limits of one upstream of a service that runs stage calls. */
export interface StageCapacity {
  /** Calls that it runs at the same time. */
  readonly maxCalls: number;
  readonly maxPieces: number;
  /** Time of a call without its pieces, in ms. */
  readonly baseCallMs: number;
  /** Approximate time of one piece, in ms; it differs between stages. */
  readonly pieceMs: number;
  /** Memory for results in bytes. */
  readonly resultBytes: number;
  /** Time for which a result that is not released is kept, in ms. */
  readonly ttlMs: number;
}

/** Limits of one engine of a service. */
export interface EngineCapacity {
  readonly slots: number;
}

/** A service that routes and stages name. */
export interface ServiceDefinition {
  readonly name: string;
  readonly stage?: StageCapacity;
  readonly engine?: EngineCapacity;
}
