import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import type { Timers } from "../../src/time/timers.js";
import type { CallIdentity } from "../../src/upstream/call-identity.js";
import type { GenerateRequest } from "../../src/upstream/generate-request.js";
import type { Token } from "../../src/upstream/token.js";

/** What one attempt does at its upstream. */
export interface AttemptBehaviour {
  readonly delayMs: number;
  readonly end: "whole" | "failed" | "crashed" | "refused" | "silent";
  /** Tokens before a stream ends other than whole. */
  readonly tokens: number;
  /** Whether the attempt goes on after a cancel. */
  readonly ignoresCancellation: boolean;
}

const healthy: AttemptBehaviour = {
  delayMs: 20,
  end: "whole",
  tokens: 0,
  ignoresCancellation: false,
};
const kinds = {
  failed: ErrorKind.UpstreamFailed,
  crashed: ErrorKind.UpstreamCrashed,
  refused: ErrorKind.UpstreamCrashed,
  silent: ErrorKind.ConnectionSilent,
} as const;

/** Upstreams in the process of the test that answer with the id of the request they are given. */
export class ErraticUpstreams {
  /** Attempts by request that were handed over. */
  readonly handed = new Map<string, number>();
  /** Requests with an attempt that answered a plain call whole while it was wanted. */
  readonly answered = new Set<string>();
  private readonly rest: AttemptBehaviour[];

  private constructor(
    private readonly timers: Timers,
    behaviours: readonly AttemptBehaviour[],
  ) {
    this.rest = [...behaviours];
  }

  static create(timers: Timers, behaviours: readonly AttemptBehaviour[]): ErraticUpstreams {
    return new ErraticUpstreams(timers, behaviours);
  }

  of(): this {
    return this;
  }

  async call(
    path: string,
    identity: CallIdentity,
    _body: unknown,
    signal: AbortSignal,
  ): Promise<unknown> {
    const behaviour = await this.begin(identity, signal);
    if (behaviour.end !== "whole") throw failure(behaviour.end);
    if (!signal.aborted) this.answered.add(identity.request);
    const document = { id: identity.request, text: identity.request };
    return path === "/search" ? { documents: [document] } : document;
  }

  async *generate(request: GenerateRequest, signal: AbortSignal): AsyncGenerator<Token> {
    const behaviour = await this.begin(request.identity, signal);
    const { request: id } = request.identity;
    for (let index = request.receivedTokens; index < request.maxTokens; index += 1) {
      if (behaviour.end !== "whole" && index - request.receivedTokens === behaviour.tokens) {
        throw failure(behaviour.end);
      }
      yield { index, text: `${id}#${index} ` };
      await this.timers.sleep(1, behaviour.ignoresCancellation ? undefined : signal);
    }
  }

  load(): Promise<number> {
    return Promise.resolve(0);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  private async begin({ request }: CallIdentity, signal: AbortSignal): Promise<AttemptBehaviour> {
    const behaviour = this.rest.shift() ?? healthy;
    if (behaviour.end === "refused") throw failure("refused");
    this.handed.set(request, (this.handed.get(request) ?? 0) + 1);
    await this.timers.sleep(behaviour.delayMs, behaviour.ignoresCancellation ? undefined : signal);
    return behaviour;
  }
}

function failure(end: Exclude<AttemptBehaviour["end"], "whole">): ServeError {
  return ServeError.create(kinds[end], end, { undispatched: end === "refused" });
}
