import type { RequestHead } from "../intake/request-head.js";

/** A caller's request with its complete body. */
export interface ForwardRequest extends RequestHead {
  readonly body: Buffer;
}
