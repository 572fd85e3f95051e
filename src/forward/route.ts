import { Repeatability } from "./repeatability.js";
import type { StageDefinition } from "./stage-definition.js";

/** A service that receives a weighted share of the requests of a route. */
export interface ServiceShare {
  readonly service: string;
  /** Positive; the share is the weight divided by the sum of all weights. */
  readonly weight: number;
}

/** How requests for one host and path prefix are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly repeatability: Repeatability;
  readonly resumable: boolean;
  readonly timeoutMs: number;
  /** Latency target for the response, or for the first event of a stream, in ms. */
  readonly targetMs: number;
  /** Target for the longest pause between events of a stream, in ms; undefined for no target. */
  readonly pauseTargetMs?: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly services: readonly ServiceShare[];
  /** Maximum number of upstreams to which one request is sent. */
  readonly maxAttempts: number;
  readonly stages: readonly StageDefinition[];
  /** Whether requests are accepted without an API key. */
  readonly anonymous: boolean;
}

/** Whether a request of the route may be sent again although an earlier attempt may have run. */
export function isRepeatable(route: Route): boolean {
  return route.repeatability === Repeatability.Idempotent || route.resumable;
}
