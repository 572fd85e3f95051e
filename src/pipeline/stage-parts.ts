import type { Pools } from "../admission/pools.js";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import type { StageCosts } from "../metrics/stage-costs.js";
import type { CrashSuspects } from "../routing/crash-suspects.js";
import type { Hedges } from "../routing/hedges.js";
import type { RetryBudget } from "../routing/retry-budget.js";
import type { Timers } from "../time/timers.js";
import type { DroppedAnswers } from "../upstream/dropped-answers.js";
import type { UpstreamClients } from "../upstream/upstream-clients.js";

/** Parts of the daemon that run stages. */
export interface StageParts {
  readonly pools: Pools;
  readonly clients: UpstreamClients;
  readonly timers: Timers;
  readonly configurationView: ConfigurationView;
  readonly retryBudget: RetryBudget;
  readonly crashSuspects: CrashSuspects;
  readonly hedges: Hedges;
  readonly stageCosts: Pick<StageCosts, "record">;
  readonly droppedAnswers: DroppedAnswers;
}
