import type { DemandDigest } from "./demand-digest.js";

/** The demand that this instance sees; read for each heartbeat. */
export interface DemandSource {
  digest(): DemandDigest;
}
