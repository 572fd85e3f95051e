import { appendResponse } from "../buffer/append-response.js";
import { BufferBudget } from "../buffer/buffer-budget.js";
import { ByteBuffer } from "../buffer/byte-buffer.js";

/**
 * Reads a body to its end; throws `UpstreamFailed` once it is longer than `maxBytes`, or there is no
 * memory for it.
 */
export async function readBoundedText(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
  budget = BufferBudget.unlimited(),
): Promise<string> {
  const buffer = ByteBuffer.create(budget, maxBytes);
  try {
    for await (const part of body) appendResponse(buffer, part);
    return buffer.bytes.toString();
  } finally {
    buffer.clear();
  }
}
