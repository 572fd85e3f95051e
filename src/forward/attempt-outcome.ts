import type { IncomingHttpHeaders } from "node:http";
import type { AttemptPhase } from "../crash/attempt-phase.js";

/** How one attempt of a request at one upstream ended. */
export type AttemptOutcome =
  /** The whole response was relayed to the caller. */
  | { readonly kind: "relayed"; readonly status: number }
  /** The upstream ran the request and reported a failure; nothing was relayed to the caller. */
  | {
      readonly kind: "reported";
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    }
  /** No connection was opened, so nothing was sent. */
  | { readonly kind: "unsent"; readonly detail: string }
  /** Nothing was sent, as the upstream states a limit and there was no valid permit. */
  | { readonly kind: "withheld" }
  /** The upstream states that it did not run the request. */
  | { readonly kind: "not-run"; readonly status: number }
  /** The engine did not run the request because stage results that it needs no longer exist. */
  | { readonly kind: "inputs-gone" }
  /** The response is incomplete, invalid or not for this request, which may have run. */
  | { readonly kind: "broken"; readonly phase: AttemptPhase; readonly detail: string };
