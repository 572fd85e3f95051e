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
}

export const noEngineFaults: EngineFaults = {
  status: 0,
  frozen: false,
  firstMs: 2,
  tokenMs: 1,
  breakAfter: 0,
  crashOn: "",
};
