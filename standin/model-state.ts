import type { FastifyInstance, FastifyRequest } from "fastify";
import { setTimeout as delay } from "node:timers/promises";

interface ModelFaults {
  readonly checksFencing: boolean;
  /** Credential that orders must carry; empty for none. */
  readonly issuerCredential: string;
  readonly loadMs: number;
  /** Time for which the next order is kept before it takes effect, in ms. */
  readonly delayOrderMs: number;
}

/** The models of a stand-in engine; faults are set by `POST /models/control`. */
export class ModelState {
  private faults: ModelFaults = {
    checksFencing: false,
    issuerCredential: "",
    loadMs: 50,
    delayOrderMs: 0,
  };
  private readonly models = new Set<string>();
  private fencing = 0;
  /** Orders that arrived, in order. */
  private readonly orders: { readonly order: string; readonly fencing: number }[] = [];

  private constructor() {
    // Instances come from `create`.
  }

  static create(server: FastifyInstance): ModelState {
    const state = new ModelState();
    server.get("/v1/models", () => ({
      object: "list",
      data: [...state.models].map((id) => ({ id, object: "model" })),
    }));
    server.get("/models/orders", () => state.orders);
    server.post("/models/control", (request) => {
      state.faults = { ...state.faults, ...(request.body as Partial<ModelFaults>) };
      return state.faults;
    });
    for (const kind of ["load", "unload"] as const) {
      server.post(`/v1/${kind}_lora_adapter`, async (request, reply) =>
        reply.status(await state.take(kind, request)).send({}),
      );
    }
    return state;
  }

  private async take(kind: "load" | "unload", request: FastifyRequest): Promise<number> {
    const { delayOrderMs, loadMs, checksFencing, issuerCredential } = this.faults;
    const { lora_name: model } = request.body as { lora_name: string };
    const fencing = Number(request.headers["x-fencing-number"] ?? 0);
    this.orders.push({ order: `${kind} ${model}`, fencing });
    this.faults = { ...this.faults, delayOrderMs: 0 };
    await delay(delayOrderMs);
    if (issuerCredential && request.headers.authorization !== `Bearer ${issuerCredential}`)
      return 403;
    if (checksFencing && fencing < this.fencing) return 409;
    this.fencing = Math.max(this.fencing, fencing);
    if (kind === "load") await delay(loadMs);
    if (kind === "load") this.models.add(model);
    else this.models.delete(model);
    return 200;
  }
}
