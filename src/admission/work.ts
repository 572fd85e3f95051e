import type { Rank } from "../configuration/rank.js";

/** One stage attempt that asks a pool for an upstream. */
export interface Work {
  readonly request: string;
  readonly team: string;
  readonly className: string;
  readonly rank: Rank;
  readonly stage: string;
  /** Estimated service time on an unloaded upstream, in ms. */
  readonly costMs: number;
  /** Monotonic time in ms after which the result is useless. */
  readonly deadline: number;
  /** Text whose beginning engines may have cached; empty if prefixes do not matter. */
  readonly prompt: string;
  /** Digest of the request content, the same for each resend by the team. */
  readonly contentDigest: string;
  /** Ids of upstreams that must not be chosen because an earlier attempt failed there. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the work must run alone on an upstream of this instance. */
  readonly exclusive?: boolean;
}
