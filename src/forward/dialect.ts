import type { IncomingHttpHeaders } from "node:http";
import type { ResponseAttributes } from "./response-attributes.js";
import type { DispatchAttributes } from "./dispatch-attributes.js";
import type { PieceResult } from "./piece-result.js";
import type { RequestAttributes } from "./request-attributes.js";
import type { StagePiece } from "./stage-piece.js";

/** A call with a body to an upstream. */
export interface EncodedCall {
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: string;
}

/** How requests, answers and stage calls are written for the upstreams of a deployment. */
export interface Dialect {
  /** Path that the balancer reads to learn whether this instance takes new connections. */
  readonly readinessPath: string;
  /** Throws `MalformedRequest` if the request lacks what every request must carry. */
  parseRequest(headers: IncomingHttpHeaders): RequestAttributes;
  /** Names and values of the headers of one attempt, from those of the caller. */
  upstreamHeaders(rawHeaders: readonly string[], dispatch: DispatchAttributes): string[];
  parseResponse(status: number, headers: IncomingHttpHeaders): ResponseAttributes;
  /** Names and values of the headers that the caller gets, from those of the upstream. */
  callerHeaders(headers: IncomingHttpHeaders): string[];
  stageCall(pieces: readonly StagePiece[], upstream: string): EncodedCall;
  /** Results in the order of the pieces; throws `UpstreamFailed` for any other answer. */
  parseStageResponse(body: unknown, count: number): PieceResult[];
  releaseCall(handles: readonly string[]): EncodedCall;
  /** Address of the upstream that keeps the result. */
  handleAddress(handle: string): string;
}
