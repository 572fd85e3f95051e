import type { RoutingChoice } from "../routing/routing-choice.js";
import type { Tier } from "./tier.js";
import type { Work } from "./work.js";

/** Work in the queue of a pool. */
export interface WaitingWork {
  readonly work: Work;
  readonly tier: Tier;
  /** Learnt service time in ms. */
  readonly costMs: number;
  /** Set when the caller gave up or the deadline passed. */
  abandoned: boolean;
  /** Answers the caller that the work cannot be served in the `leftMs` until its deadline. */
  readonly refuse: (leftMs: number) => void;
  /** Hands the work to an upstream; called at most once. */
  readonly start: (routed: RoutingChoice) => void;
}
