import { type RequestContent, contentKey } from "./request-content.js";

interface RunningAttempt {
  readonly content: RequestContent;
  readonly upstream: string;
  readonly alone: boolean;
  /** Ends the attempt so that it can run again alone. */
  readonly abort: () => void;
}

/** The attempts of this instance that are in progress. */
export class RunningAttempts {
  private readonly attempts = new Map<string, Set<RunningAttempt>>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): RunningAttempts {
    return new RunningAttempts();
  }

  add(attempt: RunningAttempt): void {
    const known = this.attempts.get(attempt.upstream) ?? new Set();
    this.attempts.set(attempt.upstream, known.add(attempt));
  }

  /** Returns false if the attempt had ended before. */
  delete(attempt: RunningAttempt): boolean {
    const known = this.attempts.get(attempt.upstream);
    const found = known?.delete(attempt) ?? false;
    if (known?.size === 0) this.attempts.delete(attempt.upstream);
    return found;
  }

  onUpstream(upstream: string): readonly RunningAttempt[] {
    return [...(this.attempts.get(upstream) ?? [])];
  }

  /** Aborts attempts of a content that share their upstream; those on `except` already fail. */
  abortShared(content: RequestContent, except?: string): void {
    const key = contentKey(content);
    for (const [upstream, attempts] of this.attempts) {
      if (upstream === except) continue;
      for (const attempt of attempts) {
        if (!attempt.alone && contentKey(attempt.content) === key) attempt.abort();
      }
    }
  }
}
