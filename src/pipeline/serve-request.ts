import type { Pipeline, WorkClass } from "../configuration/configuration-document.js";
import type { RequestInput } from "./request-input.js";

/** A checked request of a caller. */
export interface ServeRequest {
  /** `<instance>.<random>`; names the instance that holds the answer. */
  readonly id: string;
  readonly team: string;
  readonly pipeline: Pipeline;
  readonly workClass: WorkClass;
  readonly input: RequestInput;
  /** Monotonic time of arrival in ms. */
  readonly arrival: number;
  /** Monotonic time in ms after which the answer is useless. */
  readonly deadline: number;
  /** SHA-256 of pipeline and input in hex; the same for each resend. */
  readonly contentDigest: string;
  readonly idempotencyKey: string | undefined;
  /** Whether the caller says that an earlier request with the key had no final answer. */
  readonly resend?: boolean;
}
