import type { Upstream } from "../configuration/configuration-document.js";
import type { AttemptResult } from "./attempt-result.js";

/** The right to run one attempt on one upstream. */
export interface Slot {
  readonly upstream: Upstream;
  /** Gives the slot back; must be called exactly once. */
  release(result: AttemptResult): void;
}
