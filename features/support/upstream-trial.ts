import type { AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";
import { Rank } from "../../src/configuration/rank.js";
import { UpstreamState } from "../../src/configuration/upstream-state.js";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { SystemTimers } from "../../src/time/system-timers.js";
import { DroppedAnswers } from "../../src/upstream/dropped-answers.js";
import { HttpUpstreamClients } from "../../src/upstream/http-upstream-clients.js";
import type { UpstreamClient } from "../../src/upstream/upstream-client.js";
import { Child } from "../../standin/child.js";
import { type EngineFaults, noEngineFaults } from "../../standin/engine-faults.js";
import { freePorts } from "../../standin/free-ports.js";
import { FaultLink } from "../../standin/fault-link.js";
import { StandinKind } from "../../standin/standin-kind.js";
import { UpstreamServer } from "../../standin/upstream-server.js";

const STANDIN_PROGRAM = fileURLToPath(new URL("../../standin/program.js", import.meta.url));
const CALL_TIMEOUT_MS = 6_000;
const TOKENS = 8;

/** Result of one call of a trial. */
export interface CallResult {
  readonly error: ServeError | undefined;
  readonly durationMs: number;
}

/** A client and an upstream with a relay between them. */
export class UpstreamTrial {
  readonly dropped = DroppedAnswers.create();
  /** Results of the calls in the order in which they ended. */
  calls: CallResult[] = [];
  child: Child | undefined;
  private readonly clients = HttpUpstreamClients.create({
    timers: SystemTimers.create(),
    droppedAnswers: this.dropped,
  });
  private attempts = 0;

  private constructor(
    readonly upstream: UpstreamServer,
    readonly relay: FaultLink,
    private address: string,
  ) {}

  static async create(): Promise<UpstreamTrial> {
    const upstream = UpstreamServer.create("upstream");
    await upstream.server.listen({ host: "127.0.0.1", port: 0 });
    const relay = await FaultLink.create(
      SystemTimers.create(),
      (upstream.server.server.address() as AddressInfo).port,
    );
    return new UpstreamTrial(upstream, relay, relay.url);
  }

  get client(): UpstreamClient {
    return this.clients.of({
      id: "upstream",
      service: "service",
      address: this.address,
      dataCentre: "fes-a",
      checksFencing: false,
      checksIssuer: false,
      slots: 8,
      state: UpstreamState.Active,
    });
  }

  /** Replaces the upstream by one in a separate process, without a relay. */
  async startProcess(): Promise<void> {
    const [port = 0] = await freePorts(1);
    const options = ["--kind", StandinKind.Upstream, "--id", "own", "--port", String(port)];
    this.child = await Child.create(STANDIN_PROGRAM, options);
    this.address = `http://127.0.0.1:${port}`;
  }

  async setFaults(faults: Partial<EngineFaults>): Promise<void> {
    const body = JSON.stringify({ ...noEngineFaults, ...faults });
    const headers = { "content-type": "application/json" };
    const url = this.child === undefined ? undefined : this.address;
    if (url !== undefined) await fetch(`${url}/control`, { method: "POST", headers, body });
    else await this.upstream.server.inject({ method: "POST", url: "/control", headers, body });
  }

  call(text: string, idempotent: boolean): Promise<void> {
    return this.recordResult(async (signal) => {
      const identity = { request: "r", stage: "call", attempt: this.attempts++ };
      await this.client.call("/call", identity, { text }, signal, idempotent);
    });
  }

  stream(): Promise<void> {
    return this.recordResult(async (signal) => {
      for await (const { index } of this.tokens(signal)) if (index < 0) return;
    });
  }

  async cancelStream(tokens: number): Promise<void> {
    for await (const { index } of this.tokens(AbortSignal.timeout(CALL_TIMEOUT_MS))) {
      if (index + 1 === tokens) return;
    }
  }

  async stop(): Promise<void> {
    await this.clients.close();
    await this.relay.stop();
    await this.upstream.server.close();
    await this.child?.end("SIGKILL");
  }

  private tokens(signal: AbortSignal): ReturnType<UpstreamClient["generate"]> {
    const request = {
      identity: { request: "r", stage: "generate", attempt: this.attempts++ },
      model: "advice",
      prompt: "prompt",
      rank: Rank.Urgent,
      maxTokens: TOKENS,
      receivedText: "",
      receivedTokens: 0,
    };
    return this.client.generate(request, signal);
  }

  private async recordResult(makeCall: (signal: AbortSignal) => Promise<void>): Promise<void> {
    const start = performance.now();
    let error: ServeError | undefined;
    try {
      await makeCall(AbortSignal.timeout(CALL_TIMEOUT_MS));
    } catch (thrown) {
      error = ServeError.from(thrown, ErrorKind.Internal);
    }
    this.calls.push({ error, durationMs: performance.now() - start });
  }
}
