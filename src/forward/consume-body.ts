import type { Readable } from "node:stream";

/**
 * Passes each chunk of a body to `onChunk` and resolves at the end of the body; rejects when the
 * body fails or `onChunk` throws. The body is paused until a promise returned by `onChunk` resolves.
 * Streams have tens of chunks per request, and an async iterator costs several promises for each.
 */
export function consumeBody(
  body: Readable,
  onChunk: (part: Buffer) => Promise<void> | undefined,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const fail = (error: unknown): void => {
      body.destroy();
      reject(error instanceof Error ? error : new Error(String(error)));
    };
    body.on("data", (chunk: Buffer) => {
      try {
        const ready = onChunk(chunk);
        if (ready === undefined) return;
        body.pause();
        ready.then(() => body.resume(), fail);
      } catch (error) {
        fail(error);
      }
    });
    body.once("end", resolve);
    body.once("error", reject);
    body.once("close", () => {
      reject(new Error("the response body was closed before its end"));
    });
  });
}
