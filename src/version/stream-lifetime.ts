import type { ForwardConfiguration } from "../forward/forward-configuration.js";
import { Repeatability } from "../forward/repeatability.js";
import type { Route } from "../forward/route.js";

const MIN_LIFETIME_MS = 10_000;
/** Callers retry within a deadline of their own, which may exceed the time limit of the route. */
const TIMEOUT_FACTOR = 2;
/** Time after which every instance that reaches another one, or the store, knows of a change. */
const SPREAD_MS = 10_000;

/** Whether streams of a route may be continued at another upstream. */
export function isResumable({ repeatability, resumable }: Route): boolean {
  return repeatability === Repeatability.Stream && resumable;
}

/** Services whose streams may be continued at another upstream. */
export function resumableServices({ routes }: ForwardConfiguration): ReadonlySet<string> {
  const shares = routes.filter(isResumable).flatMap(({ services }) => services);
  return new Set(shares.map(({ service }) => service));
}

/**
 * Time after which no stream is left that began at an instance which did not know of a change yet,
 * in ms.
 */
export function streamLifetimeMs({ routes }: ForwardConfiguration, service: string): number {
  const timeouts = routes
    .filter(
      (route) => isResumable(route) && route.services.some((each) => each.service === service),
    )
    .map(({ timeoutMs }) => TIMEOUT_FACTOR * timeoutMs);
  return Math.max(MIN_LIFETIME_MS, ...timeouts) + SPREAD_MS;
}
