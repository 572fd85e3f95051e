import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { AppendResult } from "./append-result.js";
import type { ByteBuffer } from "./byte-buffer.js";

/** Adds bytes of a response to a buffer; throws `UpstreamFailed` if there is no room for them. */
export function appendResponse(buffer: ByteBuffer, chunk: Uint8Array): void {
  const result = buffer.append(chunk);
  if (result !== AppendResult.Added)
    throw ServeError.create(ErrorKind.UpstreamFailed, `the response is ${result}`);
}
