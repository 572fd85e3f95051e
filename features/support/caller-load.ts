import { sampleCredentials } from "../../standin/sample-configuration.js";
import type { Fleet } from "../../standin/fleet.js";
import { post } from "./caller.js";

const READINESS_MS = 50;
const TOKENS = 8;
const DEADLINE_MS = 10_000;

/** Posts a streamed request and tells what is wrong with its answer; undefined for nothing. */
export async function faultOf(url: string): Promise<string | undefined> {
  try {
    const { events, body } = await post(url, {
      credential: sampleCredentials.seamstresses,
      pipeline: "advice",
      body: {
        class: "chat",
        deadlineMs: DEADLINE_MS,
        input: { text: "which kaftan fits", maxTokens: TOKENS },
      },
    });
    const tokens = events.filter(({ kind }) => kind === "token").length;
    if (tokens === TOKENS && events.at(-1)?.kind === "end") return undefined;
    return JSON.stringify(body ?? events.at(-1));
  } catch (error) {
    return String(error);
  }
}

/** Callers behind a balancer that polls readiness, each with one request after the other. */
export class CallerLoad {
  readonly faults: string[] = [];
  answers = 0;
  private readonly ready = new Set<string>();
  private readonly stopped = new AbortController();
  private readonly tasks: Promise<void>[] = [];

  private constructor(private readonly fleet: Fleet) {}

  static async create(fleet: Fleet, callers: number): Promise<CallerLoad> {
    const load = new CallerLoad(fleet);
    await load.poll();
    load.tasks.push(load.balance());
    for (let caller = 0; caller < callers; caller += 1) load.tasks.push(load.call(caller));
    return load;
  }

  async stop(): Promise<void> {
    this.stopped.abort();
    await Promise.all(this.tasks);
  }

  private async call(first: number): Promise<void> {
    for (let next = first; !this.stopped.signal.aborted; next += 1) {
      const urls = [...this.ready];
      const fault = await faultOf(urls[next % urls.length] ?? "http://no-daemon-is-ready");
      if (fault === undefined) this.answers += 1;
      else this.faults.push(fault);
    }
  }

  private async balance(): Promise<void> {
    while (!this.stopped.signal.aborted) {
      await this.poll();
      await new Promise((resolve) => setTimeout(resolve, READINESS_MS));
    }
  }

  private async poll(): Promise<void> {
    const urls = new Set(this.fleet.daemons.map(({ url }) => url));
    await Promise.all([...urls].map((url) => this.check(url)));
  }

  private async check(url: string): Promise<void> {
    const response = await fetch(`${url}/readyz`).catch(() => undefined);
    if (response?.ok === true) this.ready.add(url);
    else this.ready.delete(url);
    await response?.text();
  }
}
