/** Persistent connections to other daemons. */
export interface PeerConnections {
  /** Opens the connection to an instance unless it is open; a failure is reported by the next call. */
  open(instance: string): void;
}
