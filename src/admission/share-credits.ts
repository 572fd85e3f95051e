const MOST_CREDIT = 3;

/** Marks a given share of offered work, evenly spread; what is not taken up is saved briefly. */
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
    this.credits.set(key, Math.min(MOST_CREDIT, (this.credits.get(key) ?? 1) + share));
  }

  /** Whether the next work belongs to the share. */
  has(key: string): boolean {
    return (this.credits.get(key) ?? 1) >= 1;
  }

  /** Uses up the share by one piece of work, if anything is left of it. */
  take(key: string): void {
    const credit = this.credits.get(key) ?? 1;
    if (credit >= 1) this.credits.set(key, credit - 1);
  }
}
