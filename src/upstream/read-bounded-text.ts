import { AppendResult } from "../buffer/append-result.js";
import { BufferBudget } from "../buffer/buffer-budget.js";
import { ByteBuffer } from "../buffer/byte-buffer.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";

/**
 * Reads a body to its end; throws `UpstreamFailed` once it is longer than `maxBytes`, or there is no
 * memory for it.
 */
export async function readBoundedText(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
  budget = BufferBudget.create(Infinity),
): Promise<string> {
  const buffer = ByteBuffer.create(budget, maxBytes);
  try {
    for await (const part of body) {
      const result = buffer.append(part);
      if (result !== AppendResult.Added)
        throw ServeError.create(ErrorKind.UpstreamFailed, `the response is ${result}`);
    }
    return buffer.bytes.toString();
  } finally {
    buffer.clear();
  }
}
