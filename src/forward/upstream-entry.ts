/** An upstream as it registers itself with the platform. */
export interface UpstreamEntry {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Whether it is leaving and must get no new work. */
  readonly draining: boolean;
  /** Time for which it is still slow after its start, in ms, when the entry was written. */
  readonly coldMs: number;
  /** Start of its process in ms since the epoch; 0 if it does not tell. */
  readonly startedMs: number;
}
