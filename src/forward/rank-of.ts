import type { Route } from "./route.js";
import type { Team } from "./team.js";

/** Distinct route ranks within one team rank; the platform uses fewer. */
const ROUTE_RANKS = 4;

/**
 * Rank of a request; 0 is the most urgent. The rank of the team decides first, and the rank of the
 * route orders requests of teams of equal rank. Otherwise the ranks of routes would have no effect
 * where every team has a rank.
 */
export function rankOf(route: Route, team: Team | undefined): number {
  return (team?.rank ?? route.rank) * ROUTE_RANKS + Math.min(route.rank, ROUTE_RANKS - 1);
}
