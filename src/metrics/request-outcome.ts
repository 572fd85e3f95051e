import type { Rank } from "../configuration/rank.js";
import type { ErrorKind } from "../error/error-kind.js";

/** How one request ended. */
export interface RequestOutcome {
  readonly className: string;
  readonly rank: Rank;
  readonly team: string;
  /** Time from arrival to the end of the answer, in ms. */
  readonly durationMs: number;
  /** Whether the answer was whole and within the time of the class target. */
  readonly attained: boolean;
  /** Kind of the error that ended the request, if one did. */
  readonly error: ErrorKind | undefined;
}
