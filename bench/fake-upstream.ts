/** An attempt as a fake upstream sees it. */
export interface FakeJob {
  readonly tokens: number;
  readonly prefix: string;
  /** Position in the order of ranks; lower runs first. */
  readonly priority: number;
  /** Called once with whether the attempt succeeded. */
  readonly done: (succeeded: boolean) => void;
}

/** A back end on the manual clock. */
export interface FakeUpstream {
  start(job: FakeJob): void;
  /** Last published load; it lags behind the actual one. */
  load(): number;
  /** Multiplies each service time from now on. */
  slow(factor: number): void;
  /** Fails all work in progress and each later attempt. */
  lose(): void;
  readonly lost: boolean;
  /** Slot time used so far, in ms. */
  readonly busyMs: number;
}
