import { type FastifyInstance, fastify } from "fastify";

/** Stand-in for the weight store: reservations follow each other at a fixed rate. */
export class WeightStoreServer {
  private freeAt = 0;

  private constructor(readonly server: FastifyInstance) {}

  static create(bytesPerSecond = 1_000_000_000): WeightStoreServer {
    const store = new WeightStoreServer(fastify());
    store.server.post("/reservations", (request) => {
      const { bytes } = request.body as { bytes: number };
      const start = Math.max(performance.now(), store.freeAt);
      store.freeAt = start + (bytes / bytesPerSecond) * 1_000;
      return { startInMs: start - performance.now() };
    });
    return store;
  }
}
