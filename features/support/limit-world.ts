import type { LimitFleet } from "./limit-fleet.js";

/** State of a scenario with a limit on a manual clock. */
export interface FleetWorld {
  limitFleet: LimitFleet;
  limit: number;
  loadEndMs: number;
  eventMs: number;
  sent: Promise<boolean>[];
  refusedAtOnce: number;
  refusedAfterMs: number;
}
