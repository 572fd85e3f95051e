import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import type { Settings } from "../settings/settings.js";
import type { AnswerLog } from "./answer-log.js";
import type { AnswerSource } from "./answer-source.js";
import { RemoteAnswer } from "./remote-answer.js";

/** `<instance>.<random>`, as made by `RequestIntake`. */
const REQUEST_ID = /^([a-z0-9][a-z0-9.-]{0,62})\.[A-Za-z0-9_-]{21}$/;

interface Parts {
  readonly settings: Settings;
  readonly answerLog: AnswerLog;
  readonly peerCalls: PeerCalls;
}

/** Finds the answer of a request on the instance that its id names. */
export class AnswerFinder {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): AnswerFinder {
    return new AnswerFinder(parts);
  }

  /**
   * Resolves once the holder confirmed that the team owns the request and that the answer has
   * position `after`. Throws `UnknownRequest`, `MalformedRequest` or `PeerUnavailable`.
   */
  async find(request: string, team: string, after: number): Promise<AnswerSource> {
    const { settings, answerLog, peerCalls } = this.parts;
    const holder = REQUEST_ID.exec(request)?.[1];
    if (holder === undefined) {
      throw ServeError.create(ErrorKind.UnknownRequest, "the request id is malformed");
    }
    if (holder === settings.instance.id) {
      const record = answerLog.owned(request, team);
      record.page(after);
      return record;
    }
    const answer = RemoteAnswer.create(peerCalls, holder, request, team);
    await answer.check(after);
    return answer;
  }
}
