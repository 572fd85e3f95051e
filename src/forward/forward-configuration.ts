import type { Route } from "./route.js";
import type { ServiceDefinition } from "./service-definition.js";
import type { Team } from "./team.js";

/** What a caller may send. */
export interface CallerLimits {
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the routes, services and teams. */
export interface ForwardConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  /** Teams by key. */
  readonly teams: ReadonlyMap<string, Team>;
  /** Whether routes that are not anonymous need a key. */
  readonly keysRequired: boolean;
  readonly limits: CallerLimits;
}
