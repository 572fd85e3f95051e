import type { FrontCradle } from "./front-container.js";

type Learner = "crashRegistry" | "promptGuard" | "brittleUpstreams" | "versionPlans";

/**
 * Creates the parts that subscribe to updates of other instances when they are created. Updates may
 * arrive from the moment at which this instance listens.
 */
export function createLearners(parts: Pick<FrontCradle, Learner>): readonly unknown[] {
  const { crashRegistry, promptGuard, brittleUpstreams, versionPlans } = parts;
  return [crashRegistry, promptGuard, brittleUpstreams, versionPlans];
}
