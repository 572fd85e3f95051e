import type { RequestHead } from "./request-head.js";

/** A caller's request with its complete body. */
export interface ForwardRequest extends RequestHead {
  readonly body: Buffer;
}
