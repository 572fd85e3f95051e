/** The account to which a caller's API key belongs. */
export interface Team {
  readonly name: string;
  /** Orders requests before the rank of the route does; 0 is the most urgent. */
  readonly rank?: number;
}
