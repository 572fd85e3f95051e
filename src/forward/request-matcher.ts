import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { PromptGuard } from "../crash/prompt-guard.js";
import type { ResponseWriter } from "./response-writer.js";
import { CrashRegistry } from "./crash-registry.js";
import type { Dialect } from "./dialect.js";
import type { ForwardRequest } from "./forward-request.js";
import { hashFraction } from "./hash-fraction.js";
import { sharedPartIds } from "./prompt-part.js";
import { Repeatability } from "./repeatability.js";
import type { Readiness } from "../daemon/readiness.js";
import { rankOf } from "./rank-of.js";
import type { RequestContext } from "./request-context.js";
import type { RouteDeadlines } from "./route-deadlines.js";
import type { Route } from "./route.js";
import type { RouteView } from "./route-view.js";
import { StreamProgress } from "./stream-progress.js";

interface Parts {
  readonly dialect: Dialect;
  readonly routeView: RouteView;
  readonly crashRegistry: CrashRegistry;
  readonly promptGuard: PromptGuard;
  readonly routeDeadlines: RouteDeadlines;
  readonly readiness: Pick<Readiness, "admitRunOnce">;
}

/** Determines the route, team and time limits of a request. */
export class RequestMatcher {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): RequestMatcher {
    return new RequestMatcher(parts);
  }

  /**
   * Throws `NotReady`, `UnknownRoute`, `MalformedRequest`, `BodyTooLarge`, `Unauthenticated`,
   * `RequestSuspected`, `PartConvicted` or `Draining`.
   */
  match(request: ForwardRequest, writer: ResponseWriter, signal: AbortSignal): RequestContext {
    const { routeView, dialect, crashRegistry, promptGuard } = this.parts;
    const { configuration, routes } = routeView;
    if (configuration === undefined || routes === undefined) {
      throw ServeError.create(ErrorKind.NotReady, "no configuration has been received yet");
    }
    const route = routes.find(request.headers.host ?? "", request.target);
    if (route === undefined) throw ServeError.create(ErrorKind.UnknownRoute, request.target);
    const attributes = dialect.parseRequest(request.headers);
    if (request.body.length > configuration.limits.bodyBytes) {
      throw ServeError.create(
        ErrorKind.BodyTooLarge,
        `the body of ${request.body.length} bytes exceeds the limit`,
      );
    }
    const team = attributes.key === undefined ? undefined : configuration.teams.get(attributes.key);
    if (team === undefined && configuration.keysRequired && !route.anonymous) {
      throw ServeError.create(ErrorKind.Unauthenticated, "the API key is missing or unknown");
    }
    const digest = CrashRegistry.digest(request, attributes.key);
    crashRegistry.check(digest);
    // A stream goes on at the service that began it.
    const service = selectService(route, attributes.resumes ?? attributes.attemptId);
    const sharedParts = sharedPartIds(attributes.promptParts);
    const onTrial = promptGuard.admit(service, sharedParts);
    const elapsedMs = this.parts.routeDeadlines.elapsedMs(route, attributes.deadlineMs);
    const timeoutMs = Math.min(attributes.deadlineMs ?? Infinity, route.timeoutMs);
    const deadlineMs = request.arrivedMs + timeoutMs;
    if (route.repeatability === Repeatability.NonIdempotent)
      this.parts.readiness.admitRunOnce(deadlineMs);
    return {
      request,
      attributes,
      configuration,
      route,
      team,
      rank: rankOf(route, team),
      service,
      digest,
      sharedParts,
      onTrial,
      returning: elapsedMs > 0,
      targetMs: request.arrivedMs + route.targetMs - elapsedMs,
      deadlineMs,
      signal,
      writer,
      progress: StreamProgress.create(attributes.lastEventId),
    };
  }
}

/** Selects a service by weight; every instance selects the same one for a request. */
function selectService(route: Route, attemptId: string): string {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = hashFraction(attemptId) * total;
  for (const { service, weight } of route.services) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return service;
  }
  return route.services[0]?.service ?? "";
}
