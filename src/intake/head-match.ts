import type { ForwardConfiguration } from "../forward/forward-configuration.js";
import type { RequestAttributes } from "../forward/request-attributes.js";
import type { Route } from "../forward/route.js";
import type { Team } from "../forward/team.js";

/** What the head of a request determines under one configuration. */
export interface HeadMatch {
  readonly configuration: ForwardConfiguration;
  readonly route: Route;
  readonly attributes: RequestAttributes;
  readonly team: Team | undefined;
  /** On the monotonic clock, in ms. */
  readonly deadlineMs: number;
}
