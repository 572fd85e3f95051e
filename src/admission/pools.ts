import type { Pool } from "./pool.js";

/** The pools of all services in the configuration. */
export interface Pools {
  /** Throws `NoUpstream` if the configuration has no such service. */
  of(service: string): Pool;
}
