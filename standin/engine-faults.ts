/** Faults of a stand-in engine or plain service; set by `POST /control`. */
export interface EngineFaults {
  /** Every request fails with this status; 0 for none. */
  readonly status: number;
  /** Requests are accepted and never answered. */
  readonly frozen: boolean;
  /** Time to the first token or to the answer, in ms. */
  readonly firstMs: number;
  /** Time between tokens in ms. */
  readonly tokenMs: number;
  /** The stream breaks after this many tokens; 0 for never. */
  readonly breakAfter: number;
  /** The process exits when a request contains this text; empty for never. */
  readonly crashOn: string;
  /** Answers echo this request id; empty for the right one. */
  readonly echo: string;
  /** What is sent in place of the answer. */
  readonly body: "answer" | "garbage" | "endless";
  /** The connection is closed when a request arrives, without an answer. */
  readonly hangUp: boolean;
  /** The load report is this many ms old. */
  readonly loadLagMs: number;
}

export const noEngineFaults: EngineFaults = {
  status: 0,
  frozen: false,
  firstMs: 2,
  tokenMs: 1,
  breakAfter: 0,
  crashOn: "",
  echo: "",
  body: "answer",
  hangUp: false,
  loadLagMs: 0,
};
