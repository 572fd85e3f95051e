import type { Pool } from "./pool.js";

/** The pools of the configured services. */
export interface Pools {
  /** Throws `NoUpstream` if the service is not configured. */
  of(service: string): Pool;
}
