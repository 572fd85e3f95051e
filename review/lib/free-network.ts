import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:net";
import { ports } from "./daemon.js";

/** Tells whether the ports of the daemons are free at a loopback address. */
async function isFree(ip: string): Promise<boolean> {
  for (const port of Object.values(ports)) {
    const server = createServer();
    try {
      server.listen(port, ip);
      await once(server, "listening");
    } catch {
      return false;
    }
    server.close();
    await once(server, "close");
  }
  return true;
}

/** The first three parts of loopback addresses at which nothing listens on the daemons' ports. */
export async function freeNetwork(): Promise<string> {
  for (;;) {
    const network = `127.${randomInt(1, 255)}.${randomInt(0, 256)}`;
    if (await isFree(`${network}.1`)) return network;
  }
}
