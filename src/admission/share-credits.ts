const MAX_CREDIT = 3;

/**
 * Token buckets that mark a given share of offered work, evenly spread; unused credit is kept up
 * to a limit.
 */
export class ShareCredits {
  private readonly credits = new Map<string, number>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): ShareCredits {
    return new ShareCredits();
  }

  /** Counts offered work of which `share` belongs to the key's share. */
  offer(key: string, share: number): void {
    this.credits.set(key, Math.min(MAX_CREDIT, (this.credits.get(key) ?? 1) + share));
  }

  /** Whether the next work belongs to the share. */
  has(key: string): boolean {
    return (this.credits.get(key) ?? 1) >= 1;
  }

  /** Takes one credit, if there is one. */
  take(key: string): void {
    const credit = this.credits.get(key) ?? 1;
    if (credit >= 1) this.credits.set(key, credit - 1);
  }
}
