import type { ServerResponse } from "node:http";

/** Writes pieces to the connection of a response until it is closed. */
export function endless(response: ServerResponse, first: string, piece: string): void {
  const { socket } = response;
  socket?.write(first);
  const more = (): void => {
    while (socket?.destroyed === false && socket.write(piece));
    socket?.once("drain", more);
  };
  more();
}
