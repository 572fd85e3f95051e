import type { Trial } from "./trial.js";

/** State of a content that was in progress on an upstream that crashed. */
export interface Suspicion {
  /** Service of the upstream that crashed; at other services the content runs as usual. */
  service: string;
  /** Upstreams that crashed while the content was in progress there. */
  readonly upstreams: Set<string>;
  /** Monotonic time in ms at which the suspicion expires. */
  expiresAt: number;
  /** Monotonic time in ms before which the content does not run at all. */
  blockedUntil: number;
  trial: Trial | undefined;
}
