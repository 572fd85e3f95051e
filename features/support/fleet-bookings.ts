import assert from "node:assert/strict";
import type { Fleet } from "../../standin/fleet.js";
import { sampleCredentials } from "../../standin/sample-configuration.js";
import type { CallerAnswer } from "./caller-answer.js";
import { post } from "./caller.js";

interface Problem {
  readonly kind: string;
  readonly outcome: string;
}

interface Booking {
  readonly key: string;
  readonly deadlineMs: number;
  readonly resend: boolean;
}

interface Told {
  readonly text: string;
  readonly tookMs: number;
  /** Id of the request; empty if the connection broke before the headers. */
  readonly request: string;
}

/** Non-idempotent requests of callers to the daemons of a fleet, and what they are told. */
export class FleetBookings {
  private readonly told: Promise<Told>[] = [];

  private constructor(private readonly fleet: Fleet) {}

  static create(fleet: Fleet): FleetBookings {
    return new FleetBookings(fleet);
  }

  /** Sends a booking without waiting for its answer; the key is part of its text as well. */
  send({ key, deadlineMs, resend }: Booking, daemon: number): void {
    const start = performance.now();
    const sent = post(this.fleet.daemon(daemon).url, {
      credential: sampleCredentials.seamstresses,
      pipeline: "booking",
      body: { class: "chat", deadlineMs, input: { text: `[${key}]` }, resend },
      headers: { "idempotency-key": key },
    });
    const settled = sent.then(
      (answer) => ({ text: textOf(answer), request: answer.headers.get("x-request-id") ?? "" }),
      () => ({ text: "connection lost", request: "" }),
    );
    this.told.push(settled.then((told) => ({ ...told, tookMs: performance.now() - start })));
  }

  /** Waits for all answers. */
  async answers(): Promise<readonly Told[]> {
    return Promise.all(this.told);
  }

  async executions(key: string): Promise<number> {
    const calls = await this.calls();
    return calls.filter(({ body }) => JSON.stringify(body).includes(`[${key}]`)).length;
  }

  /** Fails if a request ran whose caller was told `not-run`. */
  async check(): Promise<void> {
    const told = await this.answers();
    const ran = new Set((await this.calls()).map(({ id }) => id.split("/")[0]));
    const wrong = told.filter(({ text, request }) => text.endsWith("not-run") && ran.has(request));
    assert.deepEqual(wrong, []);
  }

  private async calls(): Promise<{ readonly id: string; readonly body: unknown }[]> {
    const urls = [...this.fleet.upstreams].flatMap(([id, { url }]) =>
      id.startsWith("booking") ? [url] : [],
    );
    const lists = urls.map(async (url) => (await fetch(`${url}/calls`)).json());
    return ((await Promise.all(lists)) as { id: string; body: unknown }[][]).flat();
  }
}

function textOf({ events, body }: CallerAnswer): string {
  const kinds = events.map(({ kind }) => kind).join(" ");
  if (kinds === "result end") return "result";
  const problem = (body ?? events.at(-1)?.data) as Partial<Problem> | undefined;
  return problem?.kind === undefined
    ? `cut after "${kinds}"`
    : `${problem.kind} ${problem.outcome}`;
}
