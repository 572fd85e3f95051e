import type { Configuration } from "../configuration/configuration.js";
import type { DecisionLog } from "../decision/decision-log.js";
import type { Router } from "../routing/router.js";
import type { Timers } from "../time/timers.js";
import type { DemandMeter } from "./demand-meter.js";
import type { LimitShare } from "./limit-share.js";

/** Dependencies of a `ServicePool`. */
export interface ServicePoolParts {
  readonly service: string;
  readonly timers: Timers;
  readonly configuration: () => Configuration | undefined;
  readonly decisionLog: DecisionLog;
  readonly router: Router;
  readonly limitShare: LimitShare;
  readonly demandSource: DemandMeter;
}
