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
const RESUME_PAUSE_MS = 100;
const OK = 200;

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

  /** Sends one request to a daemon at random, and resumes it at others if it may be resumed. */
  async ask(): Promise<SoakRequest> {
    const { random, name, timers } = this.parts;
    this.sequence += 1;
    const kinds = Object.values(RequestKind);
    const kind = kinds[random.below(kinds.length)] ?? RequestKind.Repeatable;
    const first = `${name}-${this.sequence}`;
    let answer = await this.send({ id: first, kind, first, after: 0 });
    if (kind !== RequestKind.Resumable) return answer;
    let after = lastEvent(answer);
    const endMs = timers.now() + DEADLINE_MS;
    for (let retry = 1; after > 0 && !answer.whole && timers.now() < endMs; retry += 1) {
      await timers.sleep(answer.retryAfterMs ?? RESUME_PAUSE_MS);
      answer = await this.send({ id: `${first}-${retry}`, kind, first, after });
      after = Math.max(after, lastEvent(answer));
      // A refusal is whole, too.
      if (answer.status !== OK) answer = { ...answer, whole: false };
    }
    return answer;
  }

  private async send(
    request: Pick<SoakRequest, "id" | "kind" | "first" | "after">,
  ): Promise<SoakRequest> {
    const { timers, ports, random, ended } = this.parts;
    const { id, kind, first, after } = request;
    const daemon = random.below(ports.length);
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
      path: `/${kind}/${first}`,
      id,
      key,
      body: `body of ${first}`,
      deadlineMs: DEADLINE_MS,
      pieces,
      pieceKey: `key of ${id}`,
      ...(after > 0 ? { resumes: first, lastEventId: String(after) } : {}),
      ...(agent === undefined ? {} : { agent }),
      signal: leave.signal,
    });
    patience.cancel();
    const sent = { ...request, daemon, key, sentMs, ...answer, endedMs: timers.wallClock() };
    ended(sent);
    return sent;
  }
}

/** ID of the last complete event; 0 without any. */
function lastEvent({ status, body }: SoakRequest): number {
  if (status !== OK) return 0;
  return Number([...body.matchAll(/^id: (\d+)\ndata: .*\n\n/gm)].at(-1)?.[1] ?? 0);
}
