import type { Pipeline, WorkClass } from "../configuration/configuration-document.js";
import type { RequestInput } from "./request-input.js";

/** A validated request of a caller. */
export interface ServeRequest {
  /** `<instance>.<random>`, where `<instance>` is the instance that holds the answer. */
  readonly id: string;
  readonly team: string;
  readonly pipeline: Pipeline;
  readonly workClass: WorkClass;
  readonly input: RequestInput;
  /** Monotonic time of arrival in ms. */
  readonly arrival: number;
  /** Monotonic time in ms after which the answer is no longer of use. */
  readonly deadline: number;
  /** SHA-256 in hex of the pipeline's name and the input; the same for each resend. */
  readonly contentDigest: string;
  readonly idempotencyKey: string | undefined;
  /** Whether the caller says that an earlier request with the key had no final answer. */
  readonly resend?: boolean;
}
