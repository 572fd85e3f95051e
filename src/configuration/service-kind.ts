/** What a service does in a pipeline; decides the protocol spoken with its upstreams. */
export enum ServiceKind {
  Encode = "encode",
  Retrieve = "retrieve",
  Rerank = "rerank",
  Generate = "generate",
  /** A plain service that takes and returns JSON. */
  Call = "call",
}
