interface Trouble {
  readonly subject: string;
  readonly fromMs: number;
  /** Infinity while it lasts. */
  toMs: number;
}

/** When each part of the fleet was disturbed; times are since the epoch in ms. */
export class TroubleLog {
  private readonly troubles: Trouble[] = [];

  private constructor() {
    // Instances come from `create`.
  }

  static create(): TroubleLog {
    return new TroubleLog();
  }

  /** Notes the begin of a disturbance; the returned function notes its end. */
  begin(subject: string, nowMs: number): (endMs: number) => void {
    const trouble = { subject, fromMs: nowMs, toMs: Infinity };
    this.troubles.push(trouble);
    return (endMs) => {
      trouble.toMs = endMs;
    };
  }

  /** Whether none of the subjects was disturbed in the span. */
  calm(subjects: readonly string[], fromMs: number, toMs: number): boolean {
    return !this.troubles.some(
      (each) => subjects.includes(each.subject) && each.fromMs <= toMs && each.toMs >= fromMs,
    );
  }

  /** Whether one disturbance of the subject lasted through the whole span. */
  covers(subject: string, fromMs: number, toMs: number): boolean {
    return this.troubles.some(
      (each) => each.subject === subject && each.fromMs <= fromMs && each.toMs >= toMs,
    );
  }
}
