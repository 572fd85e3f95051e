import type { ErrorKind } from "../error/error-kind.js";

/** A candidate upstream with its expected completion time in ms. */
export interface Candidate {
  readonly upstream: string;
  readonly scoreMs: number;
}

interface RequestDecision {
  readonly request: string;
  readonly team: string;
  readonly className: string;
  readonly stage: string;
}

/** A decision that is written to the log. */
export type Decision =
  | (RequestDecision & {
      readonly kind: "route";
      readonly candidates: readonly Candidate[];
      readonly choice: string;
      readonly reason: string;
    })
  | (RequestDecision & { readonly kind: "admit"; readonly waitMs: number; readonly reason: string })
  | (RequestDecision & {
      readonly kind: "refuse";
      readonly reason: ErrorKind;
      readonly retryAfterMs: number;
    })
  | {
      readonly kind: "place";
      readonly upstream: string;
      readonly order: string;
      readonly sent: boolean;
      readonly reason: string;
    };
