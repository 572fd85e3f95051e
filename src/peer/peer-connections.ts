/** Persistent connections to other daemons. */
export interface PeerConnections {
  /** Opens the connection to an instance unless it is open; failures show at the next call. */
  open(instance: string): void;
}
