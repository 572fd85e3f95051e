import type { Route } from "./route.js";
import type { ServiceDefinition } from "./service-definition.js";
import type { Team } from "./team.js";

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration of routes, services and teams. */
export interface ForwardConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  /** Teams by API key. */
  readonly teams: ReadonlyMap<string, Team>;
  /** Whether routes that are not anonymous require an API key. */
  readonly keysRequired: boolean;
  readonly limits: CallerLimits;
}
