import type { RoutingChoice } from "../routing/routing-choice.js";
import type { Tier } from "./tier.js";
import type { Work } from "./work.js";

/** Work in a queue of a pool. */
export interface WaitingWork {
  readonly work: Work;
  readonly tier: Tier;
  /** Estimated service time in ms, corrected by measured service times. */
  readonly costMs: number;
  /** Set when the work was aborted or refused or its deadline passed; queues then drop it. */
  abandoned: boolean;
  /** Rejects the work because `leftMs`, the time until its deadline, is too short. */
  readonly refuse: (leftMs: number) => void;
  /** Hands the work a slot at the chosen upstream; called at most once. */
  readonly start: (routed: RoutingChoice) => void;
}
