import type { DemandDigest } from "./demand-digest.js";
import type { DemandSource } from "./demand-source.js";

/** Reports no demand. */
export class NeutralDemand implements DemandSource {
  private constructor() {
    // Instances come from `create`.
  }

  static create(): NeutralDemand {
    return new NeutralDemand();
  }

  digest(): DemandDigest {
    return { services: {}, teams: {} };
  }
}
