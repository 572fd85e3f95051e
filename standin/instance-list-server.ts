import { type FastifyInstance, fastify } from "fastify";
import type { ListedInstance } from "../src/table/listed-instance.js";

/** Stand-in for the platform's instance list; `POST /control` replaces the list. */
export class InstanceListServer {
  private instances: readonly ListedInstance[] = [];

  private constructor(readonly server: FastifyInstance) {}

  static create(): InstanceListServer {
    const list = new InstanceListServer(fastify());
    list.server.get("/instances", () => ({ instances: list.instances }));
    list.server.post("/control", (request) => {
      list.instances = (request.body as { instances: ListedInstance[] }).instances;
      return { instances: list.instances };
    });
    return list;
  }
}
