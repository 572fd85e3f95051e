import { Agent } from "node:http";
import type { RandomSource } from "../src/random/random-source.js";
import type { Timers } from "../src/time/timers.js";
import { askPlatform } from "../standin/platform-caller.js";
import { RequestKind, type SoakRequest } from "./soak-request.js";

const DEADLINE_MS = 4_000;
/** Callers give up a little after their deadline. */
const PATIENCE_MS = 5_000;
const MEAN_PAUSE_MS = 60;
const MOST_PIECES = 3;

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
      const { retryAfterMs = 0 } = await this.ask();
      await timers.sleep(retryAfterMs + random.exponential(MEAN_PAUSE_MS));
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

  private async send(id: string, kind: RequestKind, daemon: number): Promise<SoakRequest> {
    const { timers, ports, random } = this.parts;
    const key = this.parts.key();
    const sentMs = timers.wallClock();
    const pieces = kind === RequestKind.Staged ? random.below(MOST_PIECES + 1) : 0;
    const leave = new AbortController();
    const patience = timers.after(PATIENCE_MS, () => {
      leave.abort();
    });
    const agent = this.agents[daemon];
    const answer = await askPlatform({
      port: ports[daemon] ?? 0,
      path: `/${kind}/${id}`,
      id,
      key,
      body: `body of ${id}`,
      deadlineMs: DEADLINE_MS,
      pieces,
      pieceKey: `key of ${id}`,
      ...(agent === undefined ? {} : { agent }),
      signal: leave.signal,
    });
    patience.cancel();
    return { id, kind, daemon, key, sentMs, ...answer, endedMs: timers.wallClock() };
  }
}
