/** Why a request was refused or a connection was closed to keep memory and descriptors bounded. */
export enum LossReason {
  /** The body of another team's request needed the memory. */
  BodyMemory = "body-memory",
  /** The caller did not read its response, and memory was short. */
  UnreadResponse = "unread-response",
  /** The caller sent too many requests ahead. */
  RequestsAhead = "requests-ahead",
  /** There were too many connections, and this one had no request. */
  Connections = "connections",
}
