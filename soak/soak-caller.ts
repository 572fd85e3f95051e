import { Agent, type ClientRequest, request } from "node:http";
import type { RandomSource } from "../src/random/random-source.js";
import type { Timers } from "../src/time/timers.js";
import { RequestKind, type SoakRequest } from "./soak-request.js";

const DEADLINE_MS = 4_000;
/** Callers give up a little after their deadline. */
const PATIENCE_MS = 5_000;
const MEAN_PAUSE_MS = 60;
const MOST_PIECES = 3;
const MS_PER_SECOND = 1_000;

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly name: string;
  /** Ports of the daemons. */
  readonly ports: readonly number[];
  readonly key: () => string;
  readonly ended: (request: SoakRequest) => void;
}

/** A caller that sends one request after the other and keeps its connections. */
export class SoakCaller {
  private readonly agents: readonly Agent[];
  private sequence = 0;

  private constructor(private readonly parts: Parts) {
    this.agents = parts.ports.map(() => new Agent({ keepAlive: true, maxSockets: 1 }));
  }

  static create(parts: Parts): SoakCaller {
    return new SoakCaller(parts);
  }

  /** Sends requests until the signal aborts; resolves when the last one has ended. */
  async run(signal: AbortSignal): Promise<void> {
    const { timers, random } = this.parts;
    while (!signal.aborted) {
      const { headers } = await this.ask();
      const awayMs = Number(headers["retry-after"] ?? 0) * MS_PER_SECOND;
      await timers.sleep(awayMs + random.exponential(MEAN_PAUSE_MS));
    }
    for (const agent of this.agents) agent.destroy();
  }

  /** Sends one request to a daemon at random. */
  async ask(): Promise<SoakRequest> {
    const { random, ports, name, ended } = this.parts;
    this.sequence += 1;
    const kinds = Object.values(RequestKind);
    const kind = kinds[random.below(kinds.length)] ?? RequestKind.Repeatable;
    const answer = await this.send(`${name}-${this.sequence}`, kind, random.below(ports.length));
    ended(answer);
    return answer;
  }

  private send(id: string, kind: RequestKind, daemon: number): Promise<SoakRequest> {
    const { timers, ports, random } = this.parts;
    const key = this.parts.key();
    const sentMs = timers.wallClock();
    const pieces = kind === RequestKind.Staged ? random.below(MOST_PIECES + 1) : 0;
    const sent = { id, kind, daemon, key, sentMs };
    return new Promise((resolve) => {
      const end = (got: Pick<SoakRequest, "status" | "headers" | "body" | "whole">): void => {
        patience.cancel();
        resolve({ ...sent, ...got, endedMs: timers.wallClock() });
      };
      const call: ClientRequest = request(
        {
          port: ports[daemon],
          path: `/${kind}/${id}`,
          method: "POST",
          agent: this.agents[daemon],
          headers: {
            host: "a.example",
            "x-api-key": key,
            "nutmegstage-attempt-id": id,
            "nutmegstage-deadline-ms": String(DEADLINE_MS),
            "nutmegstage-pieces": String(pieces),
            "nutmegstage-piece-key": `key of ${id}`,
          },
        },
        (response) => {
          const { statusCode: status = 0, headers } = response;
          let body = "";
          response.setEncoding("utf8");
          response.on("data", (text: string) => (body += text));
          response.on("error", () => undefined);
          response.on("close", () => {
            end({ status, headers, body, whole: response.complete });
          });
        },
      );
      const patience = timers.after(PATIENCE_MS, () => call.destroy());
      call.on("error", () => {
        end({ status: 0, headers: {}, body: "", whole: false });
      });
      call.end(`body of ${id}`);
    });
  }
}
