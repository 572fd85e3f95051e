const SHORTEST_MS = 400;
/** Before any call has ended, a gap of this length is taken to be normal. */
const INITIAL_GAP_MS = 500;
const LONGEST_MS = 10_000;
/** A call counts as quiet after this multiple of the longest recent gap. */
const FACTOR = 4;
/** The longest gap is forgotten by this share with each new call. */
const DECAY = 0.98;

/** How long calls of one path may stay quiet before their connection is checked. */
export class QuietBound {
  private longestMs = INITIAL_GAP_MS;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): QuietBound {
    return new QuietBound();
  }

  /** The bound in ms. */
  get ms(): number {
    return Math.min(LONGEST_MS, Math.max(SHORTEST_MS, FACTOR * this.longestMs));
  }

  /** Records the longest gap of a call in ms, or one that a fresh connection showed to be normal. */
  record(gapMs: number): void {
    this.longestMs = Math.max(gapMs, this.longestMs * DECAY);
  }
}
