import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import type { Timers } from "../../src/time/timers.js";
import type { CallIdentity } from "../../src/upstream/call-identity.js";
import type { GenerateRequest } from "../../src/upstream/generate-request.js";
import type { Token } from "../../src/upstream/token.js";

/** What an upstream does with one attempt. */
export interface AttemptBehaviour {
  readonly delayMs: number;
  readonly end: "whole" | "failed" | "crashed" | "refused" | "silent";
  /** Number of tokens before a stream fails. */
  readonly tokens: number;
  /** Whether the attempt continues after it was cancelled. */
  readonly ignoresCancellation: boolean;
}

const healthy: AttemptBehaviour = {
  delayMs: 20,
  end: "whole",
  tokens: 0,
  ignoresCancellation: false,
};
const errorKinds = {
  failed: ErrorKind.UpstreamFailed,
  crashed: ErrorKind.UpstreamCrashed,
  refused: ErrorKind.UpstreamCrashed,
  silent: ErrorKind.ConnectionSilent,
} as const;

/** In-process upstreams that answer with the id of the request they are given. */
export class ErraticUpstreams {
  /** Number of attempts that upstreams accepted, by request. */
  readonly dispatchedAttempts = new Map<string, number>();
  /** Requests with a non-streaming attempt that succeeded and was not cancelled before. */
  readonly answeredRequests = new Set<string>();
  private readonly remaining: AttemptBehaviour[];

  private constructor(
    private readonly timers: Timers,
    behaviours: readonly AttemptBehaviour[],
  ) {
    this.remaining = [...behaviours];
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
    if (!signal.aborted) this.answeredRequests.add(identity.request);
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
    const behaviour = this.remaining.shift() ?? healthy;
    if (behaviour.end === "refused") throw failure("refused");
    this.dispatchedAttempts.set(request, (this.dispatchedAttempts.get(request) ?? 0) + 1);
    await this.timers.sleep(behaviour.delayMs, behaviour.ignoresCancellation ? undefined : signal);
    return behaviour;
  }
}

function failure(end: Exclude<AttemptBehaviour["end"], "whole">): ServeError {
  return ServeError.create(errorKinds[end], end, { undispatched: end === "refused" });
}
