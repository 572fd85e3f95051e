import type { Readable } from "node:stream";

/**
 * Passes each chunk of a body to `onChunk` and resolves at the end of the body; rejects when the body
 * fails, `onChunk` throws or the signal aborts, and leaves the rest of the body unread then. The body
 * is paused until a promise returned by `onChunk` resolves.
 * Streams have tens of chunks per request, and an async iterator costs several promises for each.
 */
export function consumeBody(
  body: Readable,
  onChunk: (part: Buffer) => Promise<void> | undefined,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const fail = (error: unknown): void => {
      body.off("data", pass);
      body.pause();
      reject(error instanceof Error ? error : new Error(String(error)));
    };
    const pass = (chunk: Buffer): void => {
      try {
        const ready = onChunk(chunk);
        if (ready === undefined) return;
        body.pause();
        ready.then(() => body.resume(), fail);
      } catch (error) {
        fail(error);
      }
    };
    const abort = (): void => {
      fail(signal?.reason);
    };
    if (signal?.aborted === true) {
      abort();
      return;
    }
    signal?.addEventListener("abort", abort, { once: true });
    body.on("data", pass);
    body.once("end", () => {
      signal?.removeEventListener("abort", abort);
      resolve();
    });
    body.on("error", reject);
    body.once("close", () => {
      reject(new Error("the body was closed before its end"));
    });
  });
}
