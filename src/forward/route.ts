import { Repeatability } from "./repeatability.js";
import type { StageDefinition } from "./stage-definition.js";

/** A service that serves part of the requests of a route. */
export interface ServiceShare {
  readonly service: string;
  /** Positive; the share is the weight divided by the sum of all weights. */
  readonly weight: number;
}

/** Requests of one host and path prefix, and how they are served. Times are in ms. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly repeatability: Repeatability;
  readonly resumable: boolean;
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event, within which the request attains its target. */
  readonly targetMs: number;
  /** Longest pause between events with which a stream attains its target; undefined if not stated. */
  readonly pauseTargetMs?: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly services: readonly ServiceShare[];
  /** Upstreams to which one request may be sent. */
  readonly maxAttempts: number;
  readonly stages: readonly StageDefinition[];
  /** Whether requests need no key. */
  readonly anonymous: boolean;
}

/** Whether a request of the route may be sent again after it may have run. */
export function isRepeatable(route: Route): boolean {
  return route.repeatability === Repeatability.Idempotent || route.resumable;
}
