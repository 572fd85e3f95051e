/** What the caller received of a streamed response, over all attempts. */
export class StreamProgress {
  /** ID of the last event that the caller received. */
  lastEventId: string | undefined;
  events = 0;
  firstEventMs: number | undefined;
  lastEventMs: number | undefined;
  /** Longest time between two relayed events, in ms. */
  longestPauseMs = 0;

  private constructor(lastEventId: string | undefined) {
    this.lastEventId = lastEventId;
  }

  static create(lastEventId: string | undefined): StreamProgress {
    return new StreamProgress(lastEventId);
  }

  /** Records events relayed at `now`. */
  record(count: number, lastId: string | undefined, now: number): void {
    this.events += count;
    this.lastEventId = lastId ?? this.lastEventId;
    this.firstEventMs ??= now;
    this.longestPauseMs = Math.max(this.longestPauseMs, now - (this.lastEventMs ?? now));
    this.lastEventMs = now;
  }
}
