import type { Readable } from "node:stream";
import { appendResponse } from "./append-response.js";
import type { BufferBudget } from "./buffer-budget.js";
import { ByteBuffer } from "./byte-buffer.js";
import { consumeBody } from "./consume-body.js";

/** Reads the body of a response to its end; rejects if it exceeds `maxBytes`, or breaks off. */
export async function readWhole(
  body: Readable,
  maxBytes: number,
  budget: BufferBudget,
  onChunk: () => void = () => undefined,
): Promise<Buffer> {
  const buffer = ByteBuffer.create(budget, maxBytes);
  try {
    await consumeBody(body, (chunk) => {
      onChunk();
      appendResponse(buffer, chunk);
      return undefined;
    });
    return buffer.take();
  } finally {
    buffer.clear();
  }
}
