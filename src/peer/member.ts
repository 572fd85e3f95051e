import type { MemberState } from "./member-state.js";

/** An instance of the system as this daemon sees it. */
export interface Member {
  readonly id: string;
  /** Start time of the instance's process in ms since the epoch; rises with each start. */
  readonly incarnation: number;
  readonly dataCentre: string;
  readonly peerAddress: string;
  /** Processor cores that the instance may use; 0 if it did not say. */
  readonly cores: number;
  readonly state: MemberState;
}
