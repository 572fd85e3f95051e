import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { DropReason } from "./drop-reason.js";
import type { DroppedAnswers } from "./dropped-answers.js";

/** Yields the parts of a body and throws `UpstreamFailed` once it is longer than `mostBytes`. */
export async function* boundedBody(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
  droppedAnswers: DroppedAnswers,
  onData: () => void,
): AsyncGenerator<Uint8Array> {
  let bytes = 0;
  for await (const part of body) {
    onData();
    bytes += part.byteLength;
    if (bytes > maxBytes) {
      droppedAnswers.add(DropReason.TooLarge);
      throw ServeError.create(ErrorKind.UpstreamFailed, `an answer exceeds ${maxBytes} bytes`);
    }
    yield part;
  }
}
