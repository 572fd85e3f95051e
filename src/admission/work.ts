import type { Rank } from "../configuration/rank.js";

/** A stage attempt for which a pool chooses an upstream. */
export interface Work {
  readonly request: string;
  readonly team: string;
  readonly className: string;
  readonly rank: Rank;
  readonly stage: string;
  /** Estimated service time on an unloaded upstream, in ms. */
  readonly costMs: number;
  /** Monotonic time in ms after which the result is no longer of use. */
  readonly deadline: number;
  /** Prompt whose prefix engines may have cached; empty if the stage has no prompt. */
  readonly prompt: string;
  /** Digest of the request content; the same each time that the team resends the request. */
  readonly contentDigest: string;
  /** Ids of upstreams that must not be chosen, such as those where an earlier attempt failed. */
  readonly excluded: ReadonlySet<string>;
  /** Whether this instance must run no other work on the upstream at the same time. */
  readonly exclusive?: boolean;
}
