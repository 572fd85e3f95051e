import type { ConfigurationUpdate } from "./configuration-change.js";

/** A change that an operator asks for. */
export interface Proposal {
  /** Chosen by the operator's client; the same id is accepted at most once. */
  readonly changeId: string;
  readonly operator: string;
  /** Version that the operator saw. */
  readonly baseVersion: number;
  readonly updates: readonly ConfigurationUpdate[];
}
