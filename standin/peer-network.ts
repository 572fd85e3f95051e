import { ErrorKind } from "../src/error/error-kind.js";
import { ServeError } from "../src/error/serve-error.js";
import { PeerMethod } from "../src/peer/peer-method.js";
import type { PeerHandler } from "../src/peer/peer-methods.js";
import type { RandomSource } from "../src/random/random-source.js";
import type { ManualTimers } from "../src/time/manual-timers.js";

/** HTTP and JSON-RPC parts around the parameters of a call, and around its result. */
const CALL_FRAME_BYTES = 330;
const RESULT_FRAME_BYTES = 220;
/** One-way delays, in ms. */
const NEAR_MS = 5;
const FAR_MS = 40;

/** A member's connection to the network. */
export interface NetworkPort {
  readonly region: string;
  readonly handlers: ReadonlyMap<PeerMethod, PeerHandler>;
  up: boolean;
  sentBytes: number;
  /** Broadcast calls sent. */
  broadcasts: number;
}

/** In-memory links between members on a manual clock; counts what each member sends. */
export class PeerNetwork {
  readonly ports = new Map<string, NetworkPort>();
  private readonly cuts = new Set<string>();
  private readonly cutWays = new Set<string>();

  private constructor(
    private readonly clock: ManualTimers,
    private readonly random: RandomSource,
  ) {}

  static create(clock: ManualTimers, random: RandomSource): PeerNetwork {
    return new PeerNetwork(clock, random);
  }

  /** Stops all traffic between a region or instance and every other one. */
  cut(name: string): void {
    this.cuts.add(name);
  }

  /** Loses everything that one member sends to another. */
  cutWay(from: string, to: string): void {
    this.cutWays.add(`${from} ${to}`);
  }

  join(name: string): void {
    this.cuts.delete(name);
  }

  call(
    from: string,
    to: string,
    method: PeerMethod,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const limit = this.clock.after(timeoutMs, () => {
        reject(ServeError.create(ErrorKind.PeerUnavailable, "no answer in time"));
      });
      this.answer(from, to, method, params)
        .then(resolve, reject)
        .finally(() => {
          limit.cancel();
        });
    });
  }

  private async answer(
    from: string,
    to: string,
    method: PeerMethod,
    params: unknown,
  ): Promise<unknown> {
    const text = JSON.stringify(params);
    const sender = this.count(from, text.length + CALL_FRAME_BYTES);
    if (sender !== undefined && method === PeerMethod.Broadcast) sender.broadcasts += 1;
    await this.passage(from, to);
    const handler = this.ports.get(to)?.handlers.get(method);
    if (handler === undefined) throw ServeError.create(ErrorKind.PeerUnavailable, "unknown");
    const answer = await Promise.resolve()
      .then(() => handler(JSON.parse(text), from))
      .catch((error: unknown) => {
        throw ServeError.from(error, ErrorKind.Internal);
      });
    const result = JSON.stringify(answer);
    this.count(to, result.length + RESULT_FRAME_BYTES);
    await this.passage(to, from);
    return JSON.parse(result) as unknown;
  }

  private async passage(from: string, to: string): Promise<void> {
    const [near, far] = [this.ports.get(from), this.ports.get(to)];
    const base = near?.region === far?.region ? NEAR_MS : FAR_MS;
    await this.clock.sleep(base * (0.5 + this.random.fraction()));
    const isCut = (name = ""): boolean => this.cuts.has(name);
    const apart = near?.region !== far?.region && (isCut(near?.region) || isCut(far?.region));
    const lost =
      this.cutWays.has(`${from} ${to}`) ||
      apart ||
      isCut(from) ||
      isCut(to) ||
      near?.up !== true ||
      far?.up !== true;
    if (lost) await new Promise(() => undefined);
  }

  private count(id: string, bytes: number): NetworkPort | undefined {
    const port = this.ports.get(id);
    if (port !== undefined) port.sentBytes += bytes;
    return port;
  }
}
