import type { BufferBudget } from "../buffer/buffer-budget.js";
import type { BrittleUpstreams } from "../brittle/brittle-upstreams.js";
import type { CrashReports } from "../crash/crash-reports.js";
import type { PromptGuard } from "../crash/prompt-guard.js";
import type { UpstreamReach } from "../isolation/upstream-reach.js";
import type { EnginePlacement } from "../engine/engine-placement.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import type { CrashRegistry } from "./crash-registry.js";
import type { Dialect } from "./dialect.js";
import type { ForwardMetrics } from "./forward-metrics.js";
import type { PermittedSelection } from "./permitted-selection.js";
import type { RetryBudget } from "./retry-budget.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";
import type { UpstreamSelector } from "./upstream-selector.js";
import type { UpstreamStatements } from "./upstream-statements.js";

/** What the attempts of a request need. */
export interface DispatchParts {
  readonly timers: Timers;
  readonly bufferBudget: BufferBudget;
  readonly dialect: Dialect;
  readonly directory: UpstreamDirectory;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly upstreamSelector: UpstreamSelector;
  readonly enginePlacement: Pick<EnginePlacement, "begin">;
  readonly permittedSelection: PermittedSelection;
  readonly upstreamStatements: UpstreamStatements;
  readonly upstreamReach: UpstreamReach;
  readonly brittleUpstreams: Pick<BrittleUpstreams, "isClosed" | "recordRejection">;
  readonly retryBudget: RetryBudget;
  readonly crashRegistry: Pick<CrashRegistry, "isSuspected">;
  readonly crashReports: CrashReports;
  readonly promptGuard: PromptGuard;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: ForwardMetrics;
}
