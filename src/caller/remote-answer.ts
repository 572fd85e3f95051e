import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import { type AnswerPage, LONGEST_PAGE_WAIT_MS, answerPageSchema } from "./answer-page.js";
import type { AnswerSource } from "./answer-source.js";
import type { NumberedEvent } from "./numbered-event.js";

/** Time that a page may take beyond the wait for its first event, in ms. */
const CALL_MARGIN_MS = 2_000;

/** An answer that another instance holds, read page by page. */
export class RemoteAnswer implements AnswerSource {
  private constructor(
    private readonly peerCalls: PeerCalls,
    private readonly holder: string,
    readonly request: string,
    private readonly team: string,
  ) {}

  static create(peerCalls: PeerCalls, holder: string, request: string, team: string): RemoteAnswer {
    return new RemoteAnswer(peerCalls, holder, request, team);
  }

  /** Checks that the holder has the answer and the position; throws the holder's error. */
  async check(after: number): Promise<void> {
    await this.page(after, 0);
  }

  async *follow(after: number, signal: AbortSignal): AsyncGenerator<readonly NumberedEvent[]> {
    for (let at = after; ;) {
      signal.throwIfAborted();
      const { events, last } = await this.page(at, LONGEST_PAGE_WAIT_MS);
      at += events.length;
      if (events.length > 0) yield events;
      if (last) return;
    }
  }

  private async page(after: number, waitMs: number): Promise<AnswerPage> {
    const params = { request: this.request, team: this.team, after, waitMs };
    const result = await this.peerCalls.call(
      this.holder,
      PeerMethod.AnswerRead,
      params,
      waitMs + CALL_MARGIN_MS,
    );
    const page = answerPageSchema.safeParse(result);
    const inOrder = page.data?.events.every(({ id }, at) => id === after + at + 1) ?? false;
    if (!page.success || !inOrder) {
      throw ServeError.create(ErrorKind.PeerUnavailable, "the holder sent a malformed page");
    }
    return page.data;
  }
}
