const MIN_THRESHOLD_MS = 400;
/** Before any call has ended, a gap of this length is taken to be normal. */
const INITIAL_GAP_MS = 500;
const MAX_THRESHOLD_MS = 10_000;
/** The threshold is this multiple of the longest recent gap. */
const GAP_MULTIPLE = 4;
/** Factor by which the longest gap decays with each recorded gap. */
const GAP_DECAY = 0.98;

/** How long calls of one path may receive nothing before their connection is checked. */
export class SilenceThreshold {
  private longestGapMs = INITIAL_GAP_MS;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): SilenceThreshold {
    return new SilenceThreshold();
  }

  /** The threshold in ms. */
  get ms(): number {
    return Math.min(MAX_THRESHOLD_MS, Math.max(MIN_THRESHOLD_MS, GAP_MULTIPLE * this.longestGapMs));
  }

  /** Records the longest gap of a call in ms, or one that a fresh connection showed to be normal. */
  recordGap(gapMs: number): void {
    this.longestGapMs = Math.max(gapMs, this.longestGapMs * GAP_DECAY);
  }
}
