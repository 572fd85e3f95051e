import type { EngineOrder } from "./engine-order.js";
import type { OrderPermit } from "./order-permit.js";

/** Lists, loads and unloads the models of engines. */
export interface EngineModels {
  /** Names of the loaded models. Throws `UpstreamCrashed`, `UpstreamFailed` or the signal's reason. */
  loadedModels(address: string, signal: AbortSignal): Promise<string[]>;
  /**
   * Sends an order and resolves when the engine has executed it. Calls `permit` as the last step
   * before the order is written; if it throws, nothing is sent. Throws `OrderRefused` for an old
   * fencing number, `Forbidden` for a refused issuer, `UpstreamRejected` or `UpstreamFailed`.
   */
  sendOrder(
    address: string,
    order: EngineOrder,
    permit: () => OrderPermit,
    signal: AbortSignal,
  ): Promise<void>;
}
