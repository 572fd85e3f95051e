import type { Readable } from "node:stream";

/**
 * Hands each part of a body to `take` as it comes and resolves at the end of the body; rejects when
 * the body fails or `take` throws. A promise that `take` returns holds the next part back.
 * Streams have tens of parts a request, and an async iterator costs several promises for each.
 */
export function consumeBody(
  body: Readable,
  take: (part: Buffer) => Promise<void> | undefined,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const fail = (error: unknown): void => {
      body.destroy();
      reject(error instanceof Error ? error : new Error(String(error)));
    };
    body.on("data", (part: Buffer) => {
      try {
        const held = take(part);
        if (held === undefined) return;
        body.pause();
        held.then(() => body.resume(), fail);
      } catch (error) {
        fail(error);
      }
    });
    body.once("end", resolve);
    body.once("error", reject);
    body.once("close", () => {
      reject(new Error("the body was closed before its end"));
    });
  });
}
