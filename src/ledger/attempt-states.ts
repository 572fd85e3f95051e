import type { AttemptState } from "./attempt-state.js";

/** The dispatch states of the requests that this instance took. */
export interface AttemptStates {
  stateOf(request: string): AttemptState;
}
