import { once } from "node:events";
import { createServer } from "node:net";
import { randomInt } from "node:crypto";

/**
 * Below the ports that systems give to outgoing connections by default; one of those could be taken
 * between this check and the start of the process that is to listen.
 */
const LOWEST = 12_000;
const HIGHEST = 32_000;

/** Different ports on 127.0.0.1 that were free a moment ago. */
export async function freePorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    const port = randomInt(LOWEST, HIGHEST);
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
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
