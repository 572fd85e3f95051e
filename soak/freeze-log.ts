interface Freeze {
  readonly daemon: number;
  readonly fromMs: number;
  /** Infinity while it lasts. */
  toMs: number;
}

/** When daemons were frozen; times are on the monotonic clock in ms. */
export class FreezeLog {
  private readonly freezes: Freeze[] = [];

  private constructor() {
    // Use `create`.
  }

  static create(): FreezeLog {
    return new FreezeLog();
  }

  /** Notes that a daemon is frozen, unless it is already. */
  begin(daemon: number, nowMs: number): void {
    if (this.freezes.some((each) => each.daemon === daemon && each.toMs === Infinity)) return;
    this.freezes.push({ daemon, fromMs: nowMs, toMs: Infinity });
  }

  end(daemon: number, nowMs: number): void {
    for (const each of this.freezes)
      if (each.daemon === daemon && each.toMs === Infinity) each.toMs = nowMs;
  }

  /** Time in a span for which a daemon was frozen, in ms. */
  frozenMs(daemon: number, fromMs: number, toMs: number): number {
    return this.freezes
      .filter((each) => each.daemon === daemon)
      .map((each) => Math.min(each.toMs, toMs) - Math.max(each.fromMs, fromMs))
      .reduce((sum, ms) => sum + Math.max(0, ms), 0);
  }
}
