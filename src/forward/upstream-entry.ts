/** An upstream as registered with the platform. */
export interface UpstreamEntry {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  /** Whether it is leaving and must get no new work. */
  readonly draining: boolean;
  /** Remaining time in which it is slow after its start, when the entry was written, in ms. */
  readonly warmupMs: number;
  /** Start of its process in ms since the epoch; 0 if unknown. */
  readonly startedMs: number;
  /** Version of its software; empty if it states none. */
  readonly softwareVersion: string;
}
