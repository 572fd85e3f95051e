import type { Route } from "./route.js";
import type { Team } from "./team.js";

/** Ranks of routes that are told apart within one rank of a team; the platform uses fewer. */
const RANKS_PER_TEAM_RANK = 4;

/**
 * Rank of a request; 0 is the most urgent. A team's own rank comes first. Where every team has one,
 * it would hide the ranks of the routes, so these order the requests of teams of the same rank.
 */
export function rankOf(route: Route, team: Team | undefined): number {
  return (
    (team?.rank ?? route.rank) * RANKS_PER_TEAM_RANK + Math.min(route.rank, RANKS_PER_TEAM_RANK - 1)
  );
}
