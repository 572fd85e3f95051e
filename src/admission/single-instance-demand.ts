import type { DemandReport } from "./demand-reports.js";
import type { DemandReports } from "./demand-reports.js";

/** Reports of a daemon that knows no other instance. */
export class SingleInstanceDemand implements DemandReports {
  private constructor() {
    // Instances come from `create`.
  }

  static create(): SingleInstanceDemand {
    return new SingleInstanceDemand();
  }

  reports(): readonly DemandReport[] {
    return [];
  }

  liveInstances(): number {
    return 1;
  }
}
