import { LRUCache } from "lru-cache";
import { AttemptState } from "../ledger/attempt-state.js";
import type { AttemptStates } from "../ledger/attempt-states.js";
import type { RequestState } from "./request-state.js";

/** Bounds the cache of settled requests; the ledger treats an evicted one as unknown. */
const MAX_SETTLED_REQUESTS = 32_768;

/** The dispatch states of the non-idempotent requests that this instance took. */
export class AttemptRegistry implements AttemptStates {
  private readonly running = new Map<string, RequestState>();
  private readonly settled = new LRUCache<string, AttemptState>({ max: MAX_SETTLED_REQUESTS });

  private constructor() {
    // Instances come from `create`.
  }

  static create(): AttemptRegistry {
    return new AttemptRegistry();
  }

  stateOf(request: string): AttemptState {
    return this.running.get(request)?.attempt ?? this.settled.get(request) ?? AttemptState.Unknown;
  }

  /** Follows the state of a request until it is settled. */
  add(request: string, state: RequestState): void {
    this.running.set(request, state);
  }

  /** Keeps the last state of a request that can no longer change. */
  settle(request: string): void {
    const state = this.running.get(request);
    if (state === undefined) return;
    this.running.delete(request);
    this.settled.set(request, state.attempt);
  }
}
