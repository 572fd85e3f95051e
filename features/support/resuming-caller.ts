import { type PlatformAnswer, type PlatformRequest } from "../../standin/platform-caller.js";

const OK = 200;
const EVENT = /^id: (\d+)\ndata: word \d+ of (\S+)\n\n/gm;
const DEFAULT_RETRY_MS = 200;
/** Time in which a caller tries to resume its stream. */
const RESUME_MS = 4_000;

type Send = (request: Partial<PlatformRequest>, attempt: number) => Promise<PlatformAnswer>;

/** A stream as a caller got it, in one response or several. */
export class ResumedStream {
  /** IDs of the events in the order in which they came. */
  readonly eventIds: number[] = [];
  /** Software versions that wrote the events. */
  readonly versions = new Set<string>();
  /** Attempt that brought the first event. */
  firstAttempt: string | undefined;
  /** Whether it was resumed at least once. */
  resumed = false;
  /** Whether a response to a resumption brought an event. */
  continued = false;
  whole = false;
  /** Statuses of the responses to resumptions. */
  readonly resumeStatuses: number[] = [];

  private constructor(private readonly name: string) {}

  /** Requests a stream, and resumes it with a new attempt each time when it breaks off. */
  static async receive(name: string, send: Send): Promise<ResumedStream> {
    const stream = new ResumedStream(name);
    let endMs = Infinity;
    for (let attempt = 0; !stream.whole && Date.now() < endMs; attempt += 1) {
      const answer = await send(stream.nextRequest(attempt), attempt);
      stream.record(answer, attempt);
      if (stream.firstAttempt === undefined) break;
      if (endMs === Infinity) endMs = Date.now() + RESUME_MS;
      if (answer.status !== OK)
        await new Promise((resolve) =>
          setTimeout(resolve, answer.retryAfterMs ?? DEFAULT_RETRY_MS),
        );
    }
    return stream;
  }

  private nextRequest(attempt: number): Partial<PlatformRequest> {
    const id = `${this.name}-${attempt}`;
    if (this.firstAttempt === undefined) return { id };
    this.resumed = true;
    return { id, resumes: this.firstAttempt, lastEventId: String(this.eventIds.at(-1)) };
  }

  private record(answer: PlatformAnswer, attempt: number): void {
    const events = [...answer.body.matchAll(EVENT)];
    for (const [, id, version] of events) {
      this.eventIds.push(Number(id));
      this.versions.add(version ?? "");
    }
    if (this.resumed) {
      this.resumeStatuses.push(answer.status);
      this.continued ||= events.length > 0;
    }
    if (events.length > 0) this.firstAttempt ??= `${this.name}-${attempt}`;
    this.whole = answer.status === OK && answer.whole;
  }
}
