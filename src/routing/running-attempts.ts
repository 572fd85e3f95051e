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
  private readonly attemptsByUpstream = new Map<string, Set<RunningAttempt>>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): RunningAttempts {
    return new RunningAttempts();
  }

  add(attempt: RunningAttempt): void {
    const running = this.attemptsByUpstream.get(attempt.upstream) ?? new Set();
    this.attemptsByUpstream.set(attempt.upstream, running.add(attempt));
  }

  /** Removes an attempt that ended; returns false if it was removed before. */
  delete(attempt: RunningAttempt): boolean {
    const running = this.attemptsByUpstream.get(attempt.upstream);
    const found = running?.delete(attempt) ?? false;
    if (running?.size === 0) this.attemptsByUpstream.delete(attempt.upstream);
    return found;
  }

  onUpstream(upstream: string): readonly RunningAttempt[] {
    return [...(this.attemptsByUpstream.get(upstream) ?? [])];
  }

  /**
   * Aborts the attempts of a content that share their upstream with others. Attempts on `except`,
   * an upstream that crashed, fail by themselves.
   */
  abortShared(content: RequestContent, except?: string): void {
    const key = contentKey(content);
    for (const [upstream, attempts] of this.attemptsByUpstream) {
      if (upstream === except) continue;
      for (const attempt of attempts) {
        if (!attempt.alone && contentKey(attempt.content) === key) attempt.abort();
      }
    }
  }
}
