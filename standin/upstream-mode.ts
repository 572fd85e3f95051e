/** How an upstream treats requests. */
export enum UpstreamMode {
  Serving = "serving",
  /** Runs the request and closes the connection without an answer. */
  LosesAnswers = "loses-answers",
  /** Breaks its answers off in the middle. */
  BreaksOff = "breaks-off",
  /** Answers without a length and resets the connection before the end. */
  ResetsUnframed = "resets-unframed",
  /** Answers with the id of another request. */
  AnswersOther = "answers-other",
  /** States that it is full. */
  Full = "full",
  /** Runs requests and never answers. */
  Mute = "mute",
  /** Sends a head without end. */
  EndlessHead = "endless-head",
  /** Sends a body without end, which is one event where the answer is a stream. */
  EndlessBody = "endless-body",
  /** Sends interim heads without end. */
  InterimHeads = "interim-heads",
  /** Sends empty lines without end, each in a chunk of its own. */
  EmptyLines = "empty-lines",
  /** Sends a body without end, which is one event where the answer is a stream, in small chunks. */
  TinyChunks = "tiny-chunks",
  /** Begins an event and goes on with a byte now and then. */
  Trickles = "trickles",
  /** Sends a second copy of the answer to a stage call with the next answer on the connection. */
  CopiesAnswers = "copies-answers",
  /** Closes kept connections instead of reading a further stage call. */
  DropsKept = "drops-kept",
}
