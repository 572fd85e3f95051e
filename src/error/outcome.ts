/** What is known about the execution of a request that ends with an error. */
export enum Outcome {
  /** No stage was handed to any upstream, and none will be. */
  NotRun = "not-run",
  /** At least one stage may have run. */
  MayHaveRun = "may-have-run",
  /** The request ran to its end. */
  Ran = "ran",
}
