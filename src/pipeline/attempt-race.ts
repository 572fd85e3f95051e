import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { DropReason } from "../upstream/drop-reason.js";
import type { DroppedAnswers } from "../upstream/dropped-answers.js";

/** One attempt in a race. */
export interface RaceEntry {
  /** Aborts when another attempt wins. */
  readonly signal: AbortSignal;
  /** Claims the win; if another attempt has won, counts a late answer and throws `Cancelled`. */
  win(): void;
}

/** Accepts the answer of the attempt of a stage that answers first and cancels the others. */
export class AttemptRace {
  private winner: AbortController | undefined;
  private readonly entries = new Set<AbortController>();
  private readonly decision = new AbortController();

  private constructor(private readonly dropped: DroppedAnswers) {}

  static create(dropped: DroppedAnswers): AttemptRace {
    return new AttemptRace(dropped);
  }

  /** Aborts when any attempt wins. */
  get decided(): AbortSignal {
    return this.decision.signal;
  }

  enter(): RaceEntry {
    const entry = new AbortController();
    this.entries.add(entry);
    return {
      signal: entry.signal,
      win: () => {
        if (this.winner === entry) return;
        if (this.winner !== undefined) {
          this.dropped.add(DropReason.Late);
          throw lostRaceError();
        }
        this.winner = entry;
        this.decision.abort(lostRaceError());
        for (const other of this.entries) if (other !== entry) other.abort(lostRaceError());
      },
    };
  }
}

function lostRaceError(): ServeError {
  return ServeError.create(ErrorKind.Cancelled, "another attempt of the stage answered first");
}
