import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import { PeerMethod } from "../peer/peer-method.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import { AttemptState } from "./attempt-state.js";
import type { AttemptStates } from "./attempt-states.js";

const paramsSchema = z.object({ request: z.string() });

/** Schema of the answer to `ledger.attempt`. */
export const attemptAnswerSchema = z.object({
  /** Incarnation of the instance that answers. */
  incarnation: z.number(),
  state: z.enum(AttemptState),
});

interface Parts {
  readonly peerMethods: PeerMethods;
  readonly attemptStates: AttemptStates;
  readonly incarnation: number;
}

/** Lets other instances ask for the state of attempts that this instance holds. */
export function registerAttemptQuery(parts: Parts): void {
  const { peerMethods, attemptStates, incarnation } = parts;
  peerMethods.register(PeerMethod.LedgerAttempt, (params) => {
    const parsed = paramsSchema.safeParse(params);
    if (!parsed.success) {
      return Promise.reject(ServeError.create(ErrorKind.MalformedRequest, "request: missing"));
    }
    return Promise.resolve({ incarnation, state: attemptStates.stateOf(parsed.data.request) });
  });
}
