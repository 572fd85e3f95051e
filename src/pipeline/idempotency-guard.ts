import type { ConsolaInstance } from "consola";
import type { AnswerFinder } from "../caller/answer-finder.js";
import type { AnswerRecord } from "../caller/answer-record.js";
import { copyEvent, restoreAnswer, storedAnswer } from "../caller/stored-answer.js";
import { ErrorKind } from "../error/error-kind.js";
import { Outcome } from "../error/outcome.js";
import { ServeError } from "../error/serve-error.js";
import type { Claim } from "../ledger/claim.js";
import type { ClaimAnswer } from "../ledger/claim-answer.js";
import type { Ledger } from "../ledger/ledger.js";
import type { LedgerEntry } from "../ledger/ledger-entry.js";
import type { RequestState } from "./request-state.js";
import { untilAborted } from "./until-aborted.js";

/** Dependencies of an `IdempotencyGuard`. */
export interface IdempotencyGuardParts {
  readonly ledger: Ledger;
  readonly answerFinder: AnswerFinder;
  readonly log: ConsolaInstance;
}

/** Claims the idempotency key of a non-idempotent request, so that it runs at most once. */
export class IdempotencyGuard {
  private heldClaim: Claim | undefined;

  private constructor(
    private readonly parts: IdempotencyGuardParts,
    private readonly entry: LedgerEntry,
    private readonly state: RequestState,
    private readonly record: AnswerRecord,
  ) {}

  static create(
    parts: IdempotencyGuardParts,
    entry: LedgerEntry,
    state: RequestState,
    record: AnswerRecord,
  ): IdempotencyGuard {
    return new IdempotencyGuard(parts, entry, state, record);
  }

  /** Whether the table confirmed the claim, so that no other request with the key can run. */
  get claimed(): boolean {
    return this.heldClaim !== undefined;
  }

  /**
   * Resolves with true if the request may be dispatched. Resolves with false once the record holds
   * the answer of an earlier request with the same key.
   */
  async claim(signal: AbortSignal): Promise<boolean> {
    const answer = await untilAborted(this.requestClaim(), signal);
    switch (answer.kind) {
      case "claimed":
        return true;
      case "finished":
        this.restore(answer.answer);
        return false;
      case "running":
        await this.copyRunning(answer.request, signal);
        return false;
    }
  }

  /** Releases the claim of an abandoned request; a claim confirmed later is released then. */
  release(): void {
    this.heldClaim?.release();
    this.heldClaim = undefined;
  }

  /** Stores the final answer, which a resent request then gets. */
  finish(): void {
    const { heldClaim, record, parts } = this;
    this.heldClaim = undefined;
    heldClaim?.finish(storedAnswer(record)).catch((error: unknown) => {
      const detail = String(error);
      parts.log.error({
        message: "cannot store the final answer of a request",
        request: record.request,
        detail,
      });
    });
  }

  private async requestClaim(): Promise<ClaimAnswer> {
    const answer = await this.parts.ledger.claim(this.entry);
    if (answer.kind === "claimed") {
      // The request may have been abandoned while the table confirmed the claim.
      if (this.state.abandoned) answer.claim.release();
      else this.heldClaim = answer.claim;
    }
    return answer;
  }

  private restore(answer: string): void {
    try {
      restoreAnswer(this.record, answer);
    } catch (error) {
      const context = { outcome: Outcome.MayHaveRun, cause: error };
      throw ServeError.create(ErrorKind.Internal, "the stored answer is malformed", context);
    }
  }

  private async copyRunning(request: string, signal: AbortSignal): Promise<void> {
    try {
      await untilAborted(this.copy(request, signal), signal);
    } catch (error) {
      const failure = ServeError.from(error, ErrorKind.Internal);
      if (failure.kind === ErrorKind.DeadlineExceeded) throw failure.afterDispatch();
      const detail = `request "${request}" with the same key is in progress`;
      throw ServeError.create(ErrorKind.InProgress, detail, { cause: error });
    }
  }

  private async copy(request: string, signal: AbortSignal): Promise<void> {
    const source = await this.parts.answerFinder.find(request, this.entry.team, 0);
    for await (const page of source.follow(0, signal)) {
      for (const { event } of page) copyEvent(this.record, event);
    }
  }
}
