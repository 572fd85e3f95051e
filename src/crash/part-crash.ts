/** A crash of an upstream process that had begun to respond to requests with these prompt parts. */
export interface PartCrash {
  readonly service: string;
  /** Identifies the process; reports of several instances about one crash have the same value. */
  readonly process: string;
  /** Suspect parts of each request whose response had begun and brought nothing. */
  readonly requests: readonly (readonly string[])[];
}
