import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import { issueText } from "../settings/issue-text.js";
import type { Timers } from "../time/timers.js";
import type { AnswerLog } from "./answer-log.js";
import { type AnswerPage, pageRequestSchema } from "./answer-page.js";
import type { AnswerRecord } from "./answer-record.js";

interface Parts {
  readonly answerLog: AnswerLog;
  readonly peerMethods: PeerMethods;
  readonly timers: Timers;
}

/** Lets other instances read the answers that this one holds. */
export class AnswerReads {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): AnswerReads {
    return new AnswerReads(parts);
  }

  start(): void {
    this.parts.peerMethods.register(PeerMethod.AnswerRead, (params) => this.read(params));
  }

  private async read(params: unknown): Promise<AnswerPage> {
    const checked = pageRequestSchema.safeParse(params);
    if (!checked.success) {
      throw ServeError.create(ErrorKind.MalformedRequest, issueText(checked.error));
    }
    const { request, team, after, waitMs } = checked.data;
    const record = this.parts.answerLog.owned(request, team);
    let events = record.page(after);
    if (events.length === 0 && !record.finished && waitMs > 0) {
      await this.changed(record, waitMs);
      events = record.page(after);
    }
    return { events: [...events], last: record.finished && after + events.length === record.size };
  }

  private async changed(record: AnswerRecord, waitMs: number): Promise<void> {
    const late = new AbortController();
    const timeout = this.parts.timers.after(waitMs, () => {
      late.abort();
    });
    try {
      await record.changed(late.signal);
    } catch (error) {
      // An empty page tells the reader to ask again.
      if (!late.signal.aborted) throw error;
    } finally {
      timeout.cancel();
    }
  }
}
