import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { MemberState } from "../peer/member-state.js";
import type { Members } from "../peer/members.js";
import type { PeerCalls } from "../peer/peer-calls.js";
import { PeerMethod } from "../peer/peer-method.js";
import { attemptAnswerSchema } from "./attempt-query.js";
import { AttemptState } from "./attempt-state.js";
import type { AttemptStates } from "./attempt-states.js";
import type { LedgerRecord } from "./ledger-row.js";

const CALL_TIMEOUT_MS = 500;

interface Parts {
  readonly members: Members;
  readonly peerCalls: PeerCalls;
  readonly attemptStates: AttemptStates;
  readonly incarnation: number;
}

/** Finds out from the holder of a claim whether its attempt can still run. */
export class ClaimHolders {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): ClaimHolders {
    return new ClaimHolders(parts);
  }

  /**
   * Returns whether the holder attests that the attempt is abandoned; false while it is running.
   * Throws `HolderGone`, or `InProgress` if the holder cannot be asked now.
   */
  async abandoned(record: LedgerRecord): Promise<boolean> {
    const { incarnation, state } = await this.ask(record);
    // A restarted instance does not know what its predecessor dispatched.
    if (incarnation !== record.incarnation || state === AttemptState.Unknown) throw gone(record);
    return state === AttemptState.Abandoned;
  }

  private async ask(
    record: LedgerRecord,
  ): Promise<{ readonly incarnation: number; readonly state: AttemptState }> {
    const { members, peerCalls, attemptStates, incarnation } = this.parts;
    const { holder, request } = record;
    if (holder === members.self) return { incarnation, state: attemptStates.stateOf(request) };
    try {
      const answer = await peerCalls.call(
        holder,
        PeerMethod.LedgerAttempt,
        { request },
        CALL_TIMEOUT_MS,
      );
      return attemptAnswerSchema.parse(answer);
    } catch (error) {
      const member = members.find(holder);
      const dead = member === undefined || member.state === MemberState.Dead;
      if (dead || member.incarnation > record.incarnation) throw gone(record);
      const detail = `instance ${holder} holds the claim and does not answer`;
      throw ServeError.create(ErrorKind.InProgress, detail, { cause: error });
    }
  }
}

function gone(record: LedgerRecord): ServeError {
  const detail = `instance ${record.holder} no longer knows request ${record.request}`;
  return ServeError.create(ErrorKind.HolderGone, detail);
}
