/** What travels with calls between instances and their answers, and never causes one. */
export interface CallRider {
  /** What the next call or answer to an instance carries; undefined if nothing. */
  outgoing(instance: string): unknown;
  /** Takes what a call or answer of an instance carried; unchecked outside input. */
  receive(instance: string, carried: unknown): void;
}
