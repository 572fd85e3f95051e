/** What the members of a crowd send. */
export enum CrowdKind {
  WholeBodies = "whole large bodies",
  BodyPieces = "large bodies in pieces",
  UnendedBodies = "large bodies without their last byte",
  ManyRequests = "many requests ahead",
  UnreadStreams = "requests for streams",
  SlowHeads = "heads a byte at a time",
  Nothing = "nothing",
}
