import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/** Ports on 127.0.0.1 that were free a moment ago, chosen by the system. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, "127.0.0.1"));
  await Promise.all(servers.map((server) => once(server, "listening")));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map((server) => {
      server.close();
      return once(server, "close");
    }),
  );
  return ports;
}
