import type { ForwardConfiguration } from "../../src/forward/forward-configuration.js";
import { Repeatability } from "../../src/forward/repeatability.js";
import type { Route } from "../../src/forward/route.js";
import type { UpstreamEntry } from "../../src/forward/upstream-entry.js";

/** An upstream entry with the given fields. */
export function entryOf(fields: Partial<UpstreamEntry>): UpstreamEntry {
  return {
    id: "u",
    service: "s",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 8,
    draining: false,
    warmupMs: 0,
    startedMs: 0,
    softwareVersion: "",
    ...fields,
  };
}

/** A route with the given fields. */
export function routeOf(fields: Partial<Route>): Route {
  return {
    name: "r",
    host: "a.example",
    prefix: "/",
    repeatability: Repeatability.Idempotent,
    resumable: false,
    timeoutMs: 1_000,
    targetMs: 200,
    rank: 0,
    services: [{ service: "s", weight: 1 }],
    maxAttempts: 2,
    stages: [],
    anonymous: true,
    ...fields,
  };
}

/** A configuration with the given fields. */
export function configurationOf(fields: Partial<ForwardConfiguration>): ForwardConfiguration {
  return {
    version: 1,
    routes: [],
    services: new Map(),
    teams: new Map(),
    keysRequired: false,
    limits: { bodyBytes: 1_000_000, headerTimeoutMs: 10_000, idleTimeoutMs: 60_000 },
    ...fields,
  };
}
