import type { DemandReport } from "../src/admission/demand-reports.js";
import type { DemandReports } from "../src/admission/demand-reports.js";

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
