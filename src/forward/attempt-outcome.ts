import type { IncomingHttpHeaders } from "node:http";

/** How one attempt of a request at one upstream ended. */
export type AttemptOutcome =
  /** The whole answer was passed on. */
  | { readonly kind: "relayed"; readonly status: number }
  /** A failure that the upstream reported after it ran the request; nothing was passed on. */
  | {
      readonly kind: "reported";
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    }
  /** No connection was made, so nothing was sent. */
  | { readonly kind: "unsent"; readonly detail: string }
  /** The upstream states that it did not run the request. */
  | { readonly kind: "not-run"; readonly status: number }
  /** The engine did not run the request because results that it needs no longer exist. */
  | { readonly kind: "inputs-gone" }
  /** The answer ended early or is not the answer to this request; it may have run. */
  | { readonly kind: "broken"; readonly detail: string };
