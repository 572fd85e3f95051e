import type { CallIdentity } from "../../src/upstream/call-identity.js";
import type { GenerateRequest } from "../../src/upstream/generate-request.js";
import type { Token } from "../../src/upstream/token.js";
import type { UpstreamClient } from "../../src/upstream/upstream-client.js";
import type { UpstreamClients } from "../../src/upstream/upstream-clients.js";

const ANSWERS: Readonly<Record<string, unknown>> = {
  "/v1/embeddings": { data: [{ embedding: [1, 2] }] },
  "/search": { documents: [{ id: "d1", text: "silk" }] },
  "/v1/rerank": { results: [{ index: 0, relevance_score: 1 }] },
};

/** An in-process stand-in for all upstreams of a test. */
export class ScriptedUpstream implements UpstreamClients, UpstreamClient {
  tokens: readonly string[] = [" w1", " w2", " w3", " w4"];
  /** Number of tokens or of calls to `/call` after which the upstream waits for `resume`. */
  holdAfter = Number.POSITIVE_INFINITY;
  /** Thrown by calls to `/call`. */
  failure: Error | undefined;
  /** Identities of the calls to `/call`. */
  readonly calls: CallIdentity[] = [];
  private resolveHeld: () => void = () => undefined;
  private readonly held = new Promise<void>((resolve) => {
    this.resolveHeld = resolve;
  });

  of(): UpstreamClient {
    return this;
  }

  resume(): void {
    this.resolveHeld();
  }

  async *generate(request: GenerateRequest): AsyncGenerator<Token> {
    for (const [index, text] of this.tokens.entries()) {
      if (index >= this.holdAfter) await this.held;
      if (index >= request.receivedTokens) yield { index, text };
    }
  }

  async call(path: string, identity: CallIdentity): Promise<unknown> {
    const answer = ANSWERS[path];
    if (answer !== undefined) return answer;
    this.calls.push(identity);
    if (this.holdAfter < this.calls.length) await this.held;
    if (this.failure !== undefined) throw this.failure;
    return { booked: this.calls.length };
  }

  load(): Promise<number> {
    return Promise.resolve(0);
  }

  async close(): Promise<void> {
    // Holds no connections.
  }
}
