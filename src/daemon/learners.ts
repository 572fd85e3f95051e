import type { FrontCradle } from "./front-container.js";

type Learner =
  "crashRegistry" | "promptGuard" | "brittleUpstreams" | "versionPlans" | "evacuationReport";

/**
 * Creates the parts that subscribe to updates of other instances, or to rows of the store, when they
 * are created. Updates may arrive from the moment at which this instance listens.
 */
export function createLearners(parts: Pick<FrontCradle, Learner>): readonly unknown[] {
  const { crashRegistry, promptGuard, brittleUpstreams, versionPlans, evacuationReport } = parts;
  return [crashRegistry, promptGuard, brittleUpstreams, versionPlans, evacuationReport];
}
