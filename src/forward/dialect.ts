import type { IncomingHttpHeaders } from "node:http";
import type { ResponseAttributes } from "./response-attributes.js";
import type { DispatchAttributes } from "./dispatch-attributes.js";
import type { PieceResult } from "./piece-result.js";
import type { RequestAttributes } from "./request-attributes.js";
import type { StagePiece } from "./stage-piece.js";

/** An encoded call to an upstream. */
export interface EncodedCall {
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: string;
}

/** Encoding of requests, responses and stage calls for the upstreams of a deployment. */
export interface Dialect {
  /** Path at which the load balancer polls whether this instance takes new connections. */
  readonly readinessPath: string;
  /** Path at which upstreams tell their state, also while all their slots are in use. */
  readonly statusPath: string;
  /** Throws `MalformedRequest` if a mandatory header is missing or invalid. */
  parseRequest(headers: IncomingHttpHeaders): RequestAttributes;
  /** Header names and values of one attempt, derived from those of the caller. */
  upstreamHeaders(rawHeaders: readonly string[], dispatch: DispatchAttributes): string[];
  parseResponse(status: number, headers: IncomingHttpHeaders): ResponseAttributes;
  /** Header names and values for the caller, derived from those of the upstream. */
  callerHeaders(headers: IncomingHttpHeaders): string[];
  stageCall(pieces: readonly StagePiece[], upstream: string): EncodedCall;
  /** Results in the order of the pieces; throws `UpstreamFailed` if the body is invalid. */
  parseStageResponse(body: unknown, count: number): PieceResult[];
  releaseCall(handles: readonly string[]): EncodedCall;
  /** Address of the upstream that stores the result. */
  handleAddress(handle: string): string;
}
