import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { PromptGuard } from "../crash/prompt-guard.js";
import type { ResponseWriter } from "./response-writer.js";
import { CrashRegistry } from "./crash-registry.js";
import type { Dialect } from "./dialect.js";
import type { ForwardConfiguration } from "./forward-configuration.js";
import type { ForwardRequest } from "./forward-request.js";
import { hashFraction } from "./hash-fraction.js";
import { sharedPartIds } from "./prompt-part.js";
import { Repeatability } from "./repeatability.js";
import type { Readiness } from "../daemon/readiness.js";
import { rankOf } from "./rank-of.js";
import type { RequestContext } from "./request-context.js";
import type { RequestHead } from "../intake/request-head.js";
import type { RouteDeadlines } from "./route-deadlines.js";
import type { Route } from "./route.js";
import type { RouteView } from "./route-view.js";
import type { StoreView } from "./store-view.js";
import { StreamProgress } from "./stream-progress.js";
import type { HeadMatch } from "../intake/head-match.js";

interface Parts {
  readonly dialect: Dialect;
  readonly routeView: RouteView;
  readonly storeView: Pick<StoreView, "isCurrent">;
  readonly crashRegistry: CrashRegistry;
  readonly promptGuard: PromptGuard;
  readonly routeDeadlines: RouteDeadlines;
  readonly readiness: Pick<Readiness, "admitRunOnce">;
}

/** Other instances have a newer configuration. */
const STALE_RETRY_MS = 300;

/** Determines the route, team and time limits of a request. */
export class RequestMatcher {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): RequestMatcher {
    return new RequestMatcher(parts);
  }

  /** Throws `NotReady`, `UnknownRoute`, `MalformedRequest`, `BodyTooLarge` or `Unauthenticated`. */
  matchHead(head: RequestHead): HeadMatch {
    const { routeView, storeView, dialect } = this.parts;
    const { configuration, routes } = routeView;
    if (configuration === undefined || routes === undefined) {
      throw ServeError.create(ErrorKind.NotReady, "no configuration has been received yet");
    }
    if (!storeView.isCurrent) {
      const retryAfterMs = STALE_RETRY_MS;
      const detail = "the configuration may be out of date";
      throw ServeError.create(ErrorKind.NotReady, detail, { retryAfterMs });
    }
    const route = routes.find(head.headers.host ?? "", head.target);
    if (route === undefined) throw ServeError.create(ErrorKind.UnknownRoute, head.target);
    const attributes = dialect.parseRequest(head.headers);
    requireSize(Number(head.headers["content-length"] ?? 0), configuration);
    const team = attributes.key === undefined ? undefined : configuration.teams.get(attributes.key);
    if (team === undefined && configuration.keysRequired && !route.anonymous) {
      throw ServeError.create(ErrorKind.Unauthenticated, "the API key is missing or unknown");
    }
    const timeoutMs = Math.min(attributes.deadlineMs ?? Infinity, route.timeoutMs);
    return { configuration, route, attributes, team, deadlineMs: head.arrivedMs + timeoutMs };
  }

  /**
   * `headMatch` is used again unless the configuration has changed since. Throws the errors of
   * `matchHead`, `RequestSuspected`, `PartConvicted` or `Draining`.
   */
  match(
    request: ForwardRequest,
    headMatch: HeadMatch,
    writer: ResponseWriter,
    signal: AbortSignal,
  ): RequestContext {
    const { routeView, crashRegistry, promptGuard } = this.parts;
    const changed = headMatch.configuration !== routeView.configuration;
    const current = changed ? this.matchHead(request) : headMatch;
    const { configuration, route, attributes, team, deadlineMs } = current;
    requireSize(request.body.length, configuration);
    const digest = CrashRegistry.digest(request, attributes.key);
    crashRegistry.check(digest);
    // A stream goes on at the service that began it.
    const service = selectService(route, attributes.resumes ?? attributes.attemptId);
    const sharedParts = sharedPartIds(attributes.promptParts);
    const onTrial = promptGuard.admit(service, sharedParts);
    const elapsedMs = this.parts.routeDeadlines.elapsedMs(route, attributes.deadlineMs);
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

function requireSize(bytes: number, { limits }: ForwardConfiguration): void {
  if (bytes <= limits.bodyBytes) return;
  throw ServeError.create(ErrorKind.BodyTooLarge, `the body of ${bytes} bytes exceeds the limit`);
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
