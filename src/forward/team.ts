/** The account that a caller's key belongs to. */
export interface Team {
  readonly name: string;
  /** Replaces the rank of the route. */
  readonly rank?: number;
}
