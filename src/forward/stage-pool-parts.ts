import type { HeldPermits } from "../limit/held-permits.js";
import type { Timers } from "../time/timers.js";
import type { StageCapacity } from "./service-definition.js";
import type { StageCaller } from "./stage-caller.js";
import type { StageOutcome } from "./stage-outcome.js";
import type { StageSubmission } from "./stage-submission.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";
import type { UpstreamResultMemory } from "./upstream-result-memory.js";

/** Dependencies of the pool of one stage service. */
export interface StagePoolParts {
  readonly timers: Timers;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly heldPermits: Pick<HeldPermits, "isReady" | "take">;
  readonly stageCaller: Pick<StageCaller, "call" | "release">;
  /** Shared by the pools of the service, as any of them may be told of a release. */
  readonly memory: UpstreamResultMemory;
  /** Upstreams that this pool sends calls to. */
  readonly upstreams: () => readonly UpstreamEntry[];
  readonly capacity: () => StageCapacity | undefined;
  /** Takes a retry from the retry budget of the service; false if the budget is exhausted. */
  readonly tryTakeRetry: () => boolean;
  readonly onEnded: (submission: StageSubmission, outcome: StageOutcome) => void;
}
