/** What a call over a fresh connection showed about an upstream. */
export enum UpstreamCondition {
  Answers = "answers",
  /** Connections are refused: the process has ended. */
  Refuses = "refuses",
  /** Connections are accepted or lost without an answer. */
  Silent = "silent",
}
