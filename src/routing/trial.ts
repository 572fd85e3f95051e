/** The right of one instance to run a suspect content alone on one upstream. */
export interface Trial {
  readonly instance: string;
  readonly upstream: string;
  /** Monotonic time in ms at which the trial expires. */
  readonly expiresAt: number;
}
