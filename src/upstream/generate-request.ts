import type { Rank } from "../configuration/rank.js";
import type { CallIdentity } from "./call-identity.js";

/** A request to an engine for an answer, or for its rest after a stream broke. */
export interface GenerateRequest {
  readonly identity: CallIdentity;
  readonly model: string;
  readonly prompt: string;
  readonly rank: Rank;
  /** Maximum number of tokens of the whole answer, including those received before. */
  readonly maxTokens: number;
  /** Text received before the stream broke; empty on the first attempt. */
  readonly receivedText: string;
  /** Number of tokens in `receivedText`. */
  readonly receivedTokens: number;
}
