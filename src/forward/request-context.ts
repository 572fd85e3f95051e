import type { ResponseWriter } from "./response-writer.js";
import type { ForwardConfiguration } from "./forward-configuration.js";
import type { ForwardRequest } from "./forward-request.js";
import type { RequestAttributes } from "./request-attributes.js";
import type { Route } from "./route.js";
import type { StreamProgress } from "./stream-progress.js";
import type { Team } from "./team.js";

/** A caller's request that has passed route matching and authentication. */
export interface RequestContext {
  readonly request: ForwardRequest;
  readonly attributes: RequestAttributes;
  readonly configuration: ForwardConfiguration;
  readonly route: Route;
  readonly team: Team | undefined;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** The service of the route that serves this request. */
  readonly service: string;
  /** Identifies requests that are the same to an upstream. */
  readonly digest: string;
  /** IDs of the parts of the prompt that other requests may have too. */
  readonly sharedParts: readonly string[];
  /** Whether it runs to find out whether parts of its prompt still crash upstreams. */
  readonly onTrial: boolean;
  /** Whether the caller retries after a refusal or a failure. */
  readonly returning: boolean;
  /** On the monotonic clock, in ms. */
  readonly targetMs: number;
  readonly deadlineMs: number;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  readonly writer: ResponseWriter;
  readonly progress: StreamProgress;
}
