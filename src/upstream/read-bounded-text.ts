import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";

/** Reads a body to its end; throws `UpstreamFailed` once it is longer than `maxBytes`. */
export async function readBoundedText(
  body: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<string> {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of body) {
    bytes += part.length;
    if (bytes > maxBytes) {
      throw ServeError.create(ErrorKind.UpstreamFailed, `the response exceeds ${maxBytes} bytes`);
    }
    parts.push(part);
  }
  return Buffer.concat(parts).toString();
}
