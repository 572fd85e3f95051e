/** Result of probing an upstream over a fresh connection. */
export enum UpstreamCondition {
  Answers = "answers",
  /** Connections are refused: the process has ended. */
  Refuses = "refuses",
  /** Connections are accepted or lost without an answer. */
  Silent = "silent",
}
