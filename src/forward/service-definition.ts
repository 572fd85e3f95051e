/** Limits of one upstream of a service that runs stage calls. */
export interface StageCapacity {
  /** Calls that the upstream runs at the same time. */
  readonly maxCalls: number;
  readonly maxPieces: number;
  /** Time of a call without its pieces, in ms. */
  readonly baseCallMs: number;
  /** Approximate time that each piece adds to a call, in ms; differs between stages. */
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

/** What an upstream of a service bears while it is cold. */
export interface WarmupRate {
  /** Requests per second from all instances together. */
  readonly requestsPerSecond: number;
  /** Time for which it is cold after its start, in ms. */
  readonly startMs: number;
}

/** A service that routes and stages refer to by name. */
export interface ServiceDefinition {
  readonly name: string;
  readonly stage?: StageCapacity;
  readonly engine?: EngineCapacity;
  /** Undefined if its upstreams are never cold. */
  readonly warmup?: WarmupRate;
}
