import { once } from "node:events";
import { connect } from "node:net";

/** What a server sent on one connection, and whether it closed the connection. */
export interface RawAnswer {
  readonly text: string;
  readonly closed: boolean;
}

/** Sends bytes on a new connection and collects the answer until it closes or `waitMs` passed. */
export async function rawExchange(
  port: number,
  bytes: string | Uint8Array,
  waitMs: number,
): Promise<RawAnswer> {
  const socket = connect(port, "127.0.0.1");
  const chunks: Buffer[] = [];
  socket.on("data", (chunk: Buffer) => chunks.push(chunk));
  socket.on("error", () => undefined);
  await once(socket, "connect");
  socket.write(bytes);
  const closed = await Promise.race([
    once(socket, "close").then(() => true),
    new Promise<boolean>((resolve) => setTimeout(resolve, waitMs, false)),
  ]);
  socket.destroy();
  return { text: Buffer.concat(chunks).toString(), closed };
}
