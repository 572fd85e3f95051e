/** Writes of claims that go on after the caller was answered; a graceful stop waits for them. */
export class ClaimWrites {
  private count = 0;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): ClaimWrites {
    return new ClaimWrites();
  }

  /** Number of writes under way. */
  get pending(): number {
    return this.count;
  }

  /** Counts a write until it ends, whatever its result. */
  async run<Result>(write: () => Promise<Result>): Promise<Result> {
    this.count += 1;
    try {
      return await write();
    } finally {
      this.count -= 1;
    }
  }
}
