import { request } from "undici";
import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import type { WeightStore } from "./weight-store.js";

const REQUEST_TIMEOUT_MS = 2_000;
const answerSchema = z.object({ startInMs: z.number().nonnegative() });

/** Reserves by `POST <endpoint>/reservations`; the store answers when the load may begin. */
export class HttpWeightStore implements WeightStore {
  private constructor(
    private readonly endpoint: string,
    private readonly timers: Timers,
  ) {}

  static create(endpoint: string, timers: Timers): HttpWeightStore {
    return new HttpWeightStore(endpoint, timers);
  }

  async reserve(model: string, bytes: number, signal: AbortSignal): Promise<void> {
    await this.timers.sleep(await this.startInMs(model, bytes, signal), signal);
  }

  private async startInMs(model: string, bytes: number, signal: AbortSignal): Promise<number> {
    try {
      const { body } = await request(new URL("/reservations", this.endpoint), {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ model, bytes }),
        signal: AbortSignal.any([signal, AbortSignal.timeout(REQUEST_TIMEOUT_MS)]),
      });
      return answerSchema.parse(await body.json()).startInMs;
    } catch (error) {
      throw ServeError.from(signal.aborted ? signal.reason : error, ErrorKind.UpstreamFailed);
    }
  }
}
