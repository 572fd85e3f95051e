import type { PeerCalls } from "../../src/peer/peer-calls.js";
import type { PeerMethod } from "../../src/peer/peer-method.js";
import type { PeerHandler, PeerMethods } from "../../src/peer/peer-methods.js";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";

/** Calls between instances of one process; parameters and results are copied as JSON. */
export class MemoryPeers implements PeerCalls {
  /** Instances that cannot be reached. */
  readonly unreachable = new Set<string>();
  private readonly handlers = new Map<string, PeerHandler>();

  methodsOf(instance: string): PeerMethods {
    return {
      register: (method, handler) => {
        this.handlers.set(`${instance} ${method}`, handler);
      },
    };
  }

  async call(instance: string, method: PeerMethod, params: unknown): Promise<unknown> {
    const handler = this.handlers.get(`${instance} ${method}`);
    if (handler === undefined || this.unreachable.has(instance)) {
      throw ServeError.create(ErrorKind.PeerUnavailable, `no peer "${instance}"`);
    }
    return JSON.parse(JSON.stringify(await handler(JSON.parse(JSON.stringify(params)), "test")));
  }
}
