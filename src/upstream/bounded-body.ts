import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { DropReason } from "./drop-reason.js";
import type { DroppedAnswers } from "./dropped-answers.js";

/** Passes on a body and throws `UpstreamFailed` once it is longer than `mostBytes`. */
export async function* boundedBody(
  body: AsyncIterable<Uint8Array>,
  mostBytes: number,
  dropped: DroppedAnswers,
  heard: () => void,
): AsyncGenerator<Uint8Array> {
  let bytes = 0;
  for await (const part of body) {
    heard();
    bytes += part.byteLength;
    if (bytes > mostBytes) {
      dropped.add(DropReason.TooLarge);
      throw ServeError.create(ErrorKind.UpstreamFailed, `an answer exceeds ${mostBytes} bytes`);
    }
    yield part;
  }
}
