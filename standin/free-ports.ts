import { once } from "node:events";
import { createServer } from "node:net";
import { randomInt } from "node:crypto";

/**
 * Below the ports that systems give to outgoing connections by default; one of those could be taken
 * between this check and the start of the process that is to listen.
 */
const LOWEST = 12_000;
const HIGHEST = 32_000;

/** Ports that this process has checked; another fleet of it may be about to listen on them. */
const checked = new Set<number>();

/** Ports on 127.0.0.1 that were free a moment ago, each given out once by this process. */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = randomInt(LOWEST, HIGHEST);
    if (checked.has(port)) continue;
    checked.add(port);
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, "127.0.0.1");
    await once(server, "listening");
  } catch {
    return false;
  }
  server.close();
  await once(server, "close");
  return true;
}
