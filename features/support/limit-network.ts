import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import type { PeerCalls } from "../../src/peer/peer-calls.js";
import type { PeerHandler, PeerMethods } from "../../src/peer/peer-methods.js";
import { type Update, updateSchema } from "../../src/peer/update.js";
import type { Updates } from "../../src/peer/updates.js";
import type { RandomSource } from "../../src/random/random-source.js";
import type { ManualTimers } from "../../src/time/manual-timers.js";

const DELAY_MS = 5;

/** Calls and updates between the instances of one process, with delays, cuts, losses and freezes. */
export class LimitNetwork {
  /** Instances that cannot reach those of another number. */
  readonly partition = new Map<string, number>();
  readonly frozen = new Set<string>();
  /** Part of the messages that is lost. */
  lossRate = 0;
  /** Calls and deliveries of updates. */
  messages = 0;
  private readonly handlers = new Map<string, PeerHandler>();
  private readonly subscribers = new Map<string, ((update: Update) => void)[]>();

  private constructor(
    private readonly timers: ManualTimers,
    private readonly random: RandomSource,
  ) {}

  static create(timers: ManualTimers, random: RandomSource): LimitNetwork {
    return new LimitNetwork(timers, random);
  }

  methodsOf(instance: string): PeerMethods {
    return {
      register: (method, handler) => {
        this.handlers.set(`${instance} ${method}`, handler);
      },
    };
  }

  callsOf(from: string): PeerCalls {
    return {
      call: async (to, method, params, timeoutMs) => {
        this.messages += 1;
        const copy: unknown = JSON.parse(JSON.stringify(params));
        const answer = this.delivered(from, to).then(async (arrived) => {
          if (!arrived) return new Promise<never>(() => undefined);
          const result = await this.handlers.get(`${to} ${method}`)?.(copy, from);
          if (!(await this.delivered(to, from))) return new Promise<never>(() => undefined);
          return JSON.parse(JSON.stringify(result)) as unknown;
        });
        const timeout = this.timers.sleep(timeoutMs).then(() => {
          throw ServeError.create(ErrorKind.PeerUnavailable, "no answer in time");
        });
        return Promise.race([answer, timeout]);
      },
    };
  }

  updatesOf(from: string): Updates {
    return {
      publish: (update) => {
        const copy = updateSchema.parse(JSON.parse(JSON.stringify(update)));
        for (const [to, handlers] of this.subscribers) {
          if (to === from) continue;
          this.messages += 1;
          void this.delivered(from, to).then((arrived) => {
            if (arrived) for (const handler of handlers) handler(copy);
          });
        }
      },
      subscribe: (handler) => {
        const handlers = this.subscribers.get(from) ?? [];
        this.subscribers.set(from, [...handlers, handler]);
        return { cancel: () => this.subscribers.delete(from) };
      },
    };
  }

  /** Ends an instance: it answers nothing any more. */
  remove(instance: string): void {
    this.subscribers.delete(instance);
    for (const key of this.handlers.keys())
      if (key.startsWith(`${instance} `)) this.handlers.delete(key);
  }

  private async delivered(from: string, to: string): Promise<boolean> {
    const sideOf = (instance: string): number => this.partition.get(instance) ?? 0;
    if (sideOf(from) !== sideOf(to) || this.random.fraction() < this.lossRate) return false;
    await this.timers.sleep(DELAY_MS);
    while (this.frozen.has(to)) await this.timers.sleep(DELAY_MS);
    return true;
  }
}
