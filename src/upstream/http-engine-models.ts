import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { Connection } from "./connection.js";
import type { EngineModels } from "./engine-models.js";
import type { EngineOrder } from "./engine-order.js";
import type { OrderPermit } from "./order-permit.js";
import { readBoundedText } from "./read-bounded-text.js";

const MAX_RESPONSE_BYTES = 262_144;
const modelListSchema = z.object({ data: z.array(z.object({ id: z.string() })) });
const ORDER_PATHS = { load: "/v1/load_lora_adapter", unload: "/v1/unload_lora_adapter" } as const;

/**
 * Lists, loads and unloads models over the HTTP endpoints that model servers commonly provide. Each
 * request has a connection of its own, so that an order never waits behind another one.
 */
export class HttpEngineModels implements EngineModels {
  private constructor(private readonly timers: Timers) {}

  static create(parts: { timers: Timers }): HttpEngineModels {
    return new HttpEngineModels(parts.timers);
  }

  loadedModels(address: string, signal: AbortSignal): Promise<string[]> {
    return this.withConnection(address, signal, async (connection) => {
      const { statusCode, body } = await connection.request({
        path: "/v1/models",
        method: "GET",
        signal,
      });
      const text = await readBoundedText(body, MAX_RESPONSE_BYTES);
      checkStatus(statusCode);
      return modelListSchema.parse(JSON.parse(text)).data.map(({ id }) => id);
    });
  }

  sendOrder(
    address: string,
    order: EngineOrder,
    permit: () => OrderPermit,
    signal: AbortSignal,
  ): Promise<void> {
    const body = JSON.stringify({ lora_name: order.model, lora_path: order.model });
    return this.withConnection(address, signal, async (connection) => {
      const response = await connection.request({
        path: ORDER_PATHS[order.kind],
        method: "POST",
        headers: { "content-type": "application/json", ...permitHeaders(permit()) },
        body,
        signal,
      });
      await readBoundedText(response.body, MAX_RESPONSE_BYTES);
      checkStatus(response.statusCode);
    });
  }

  private async withConnection<Result>(
    address: string,
    signal: AbortSignal,
    use: (connection: Connection) => Promise<Result>,
  ): Promise<Result> {
    const connection = await Connection.open(address, this.timers, signal);
    try {
      return await use(connection);
    } catch (error) {
      throw ServeError.from(signal.aborted ? signal.reason : error, ErrorKind.UpstreamFailed);
    } finally {
      connection.destroy();
    }
  }
}

function permitHeaders({ fencing, issuer }: OrderPermit): Record<string, string> {
  const fencingHeader = { "x-fencing-number": String(fencing) };
  if (issuer === undefined) return fencingHeader;
  return {
    ...fencingHeader,
    "x-order-issuer": issuer.id,
    authorization: `Bearer ${issuer.credential}`,
  };
}

function checkStatus(status: number): void {
  if (status < 300) return;
  throw ServeError.create(errorKindOf(status), `the engine answered with status ${status}`);
}

function errorKindOf(status: number): ErrorKind {
  if (status === 409) return ErrorKind.OrderRefused;
  if (status === 401 || status === 403) return ErrorKind.Forbidden;
  return status < 500 ? ErrorKind.UpstreamRejected : ErrorKind.UpstreamFailed;
}
