import type { ServerResponse } from "node:http";
import { UpstreamMode } from "./upstream-mode.js";

const LARGE_BYTES = 65_536;
/** Small chunks of one write. */
const SMALL_CHUNKS = 2_000;

/** Modes in which an upstream sends bytes without end. */
export type EndlessMode =
  | UpstreamMode.EndlessHead
  | UpstreamMode.EndlessBody
  | UpstreamMode.InterimHeads
  | UpstreamMode.EmptyLines
  | UpstreamMode.TinyChunks;

/** Sends bytes without end in the place of a response. */
export function sendEndless(response: ServerResponse, mode: EndlessMode): void {
  switch (mode) {
    case UpstreamMode.EndlessHead:
      endless(response, "HTTP/1.1 200 OK\r\n", `x-more: ${"x".repeat(LARGE_BYTES)}\r\n`);
      return;
    case UpstreamMode.InterimHeads:
      endless(response, "", "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(SMALL_CHUNKS));
      return;
    case UpstreamMode.EndlessBody:
      response.flushHeaders();
      endless(response, "", `10000\r\n${"x".repeat(LARGE_BYTES)}\r\n`);
      return;
    case UpstreamMode.EmptyLines:
      response.flushHeaders();
      endless(response, "", "2\r\n\n\n\r\n".repeat(SMALL_CHUNKS));
      return;
    case UpstreamMode.TinyChunks:
      response.flushHeaders();
      endless(response, "", "4\r\ntok \r\n".repeat(SMALL_CHUNKS));
  }
}

/** Writes pieces to the connection of a response until it is closed. */
function endless(response: ServerResponse, first: string, piece: string): void {
  const { socket } = response;
  socket?.write(first);
  const more = (): void => {
    while (socket?.destroyed === false && socket.write(piece));
    socket?.once("drain", more);
  };
  more();
}
