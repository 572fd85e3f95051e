import type { DemandDigest } from "./demand-digest.js";

/** The demand offered to this instance; read for each heartbeat. */
export interface DemandSource {
  digest(): DemandDigest;
}
