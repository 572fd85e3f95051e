import type { Answer } from "./answer.js";
import { ErrorKind } from "./error-kind.js";
import { Outcome } from "./outcome.js";

const SHORT_RETRY_MS = 1_000;
const LONG_RETRY_MS = 5_000;

function final(status: number, title: string, outcome = Outcome.NotRun): Answer {
  return { status, title, outcome };
}

function retryable(
  status: number,
  title: string,
  retryAfterMs: number,
  outcome = Outcome.NotRun,
): Answer {
  return { status, title, outcome, retryAfterMs };
}

/** Maps every error kind to its HTTP answer. */
export const answerTable: Readonly<Record<ErrorKind, Answer>> = {
  [ErrorKind.MalformedRequest]: final(400, "The request is malformed"),
  [ErrorKind.BodyTooLarge]: final(413, "The request body is too large"),
  [ErrorKind.HeadersTooLarge]: final(431, "The request headers are too large"),
  [ErrorKind.RequestTimeout]: retryable(408, "The request was sent too slowly", SHORT_RETRY_MS),
  [ErrorKind.Unauthenticated]: final(401, "The credential is missing or unknown"),
  [ErrorKind.Forbidden]: final(403, "The credential does not permit this"),
  [ErrorKind.UnknownRoute]: final(404, "There is no such resource"),
  [ErrorKind.UnknownPipeline]: final(404, "There is no such pipeline"),
  [ErrorKind.UnknownClass]: final(400, "There is no such class"),
  [ErrorKind.UnknownRequest]: final(404, "There is no such request", Outcome.MayHaveRun),
  [ErrorKind.AnswerExpired]: final(410, "The answer is no longer kept", Outcome.MayHaveRun),
  [ErrorKind.IdempotencyKeyMissing]: final(400, "The pipeline requires an idempotency key"),
  [ErrorKind.IdempotencyKeyReused]: final(422, "The idempotency key belongs to another payload"),
  [ErrorKind.InProgress]: retryable(
    409,
    "The request is in progress",
    SHORT_RETRY_MS,
    Outcome.MayHaveRun,
  ),
  [ErrorKind.HolderGone]: final(
    409,
    "The instance that ran the request is gone",
    Outcome.MayHaveRun,
  ),
  [ErrorKind.DeadlineUnreachable]: retryable(503, "The deadline cannot be met", SHORT_RETRY_MS),
  [ErrorKind.DeadlineExceeded]: retryable(504, "The deadline has passed", SHORT_RETRY_MS),
  [ErrorKind.Overloaded]: retryable(503, "The service is overloaded", SHORT_RETRY_MS),
  [ErrorKind.TooManyConnections]: retryable(
    429,
    "Too many requests on this connection",
    SHORT_RETRY_MS,
  ),
  [ErrorKind.Draining]: retryable(503, "The instance is shutting down", SHORT_RETRY_MS),
  [ErrorKind.NotReady]: retryable(503, "The instance is not ready", SHORT_RETRY_MS),
  [ErrorKind.Cancelled]: final(499, "The request was cancelled"),
  [ErrorKind.RequestConvicted]: final(422, "The request crashes upstreams"),
  [ErrorKind.RequestSuspected]: retryable(
    503,
    "The request may have crashed an upstream",
    SHORT_RETRY_MS,
  ),
  [ErrorKind.PartConvicted]: retryable(
    503,
    "A part of the prompt crashes upstreams",
    LONG_RETRY_MS,
  ),
  [ErrorKind.UpstreamFailed]: retryable(502, "An upstream failed", SHORT_RETRY_MS),
  [ErrorKind.UpstreamCrashed]: retryable(502, "An upstream crashed", SHORT_RETRY_MS),
  [ErrorKind.ConnectionSilent]: retryable(502, "A connection went silent", SHORT_RETRY_MS),
  [ErrorKind.UpstreamRejected]: final(502, "An upstream rejected the request"),
  [ErrorKind.InputsGone]: retryable(503, "Results of earlier stages are gone", SHORT_RETRY_MS),
  [ErrorKind.NoUpstream]: retryable(503, "No upstream is available", LONG_RETRY_MS),
  [ErrorKind.VersionGone]: final(503, "The software version of the stream no longer serves"),
  [ErrorKind.VersionUnknown]: retryable(
    503,
    "The software version of the stream is not known",
    SHORT_RETRY_MS,
  ),
  [ErrorKind.TableUnavailable]: retryable(503, "The table service is unavailable", LONG_RETRY_MS),
  [ErrorKind.TableUncertain]: retryable(503, "The table service did not confirm", LONG_RETRY_MS),
  [ErrorKind.PeerUnavailable]: retryable(
    503,
    "The instance with the answer is unreachable",
    SHORT_RETRY_MS,
  ),
  [ErrorKind.StaleBaseVersion]: final(409, "The base version is stale"),
  [ErrorKind.ChangeNotAccepted]: retryable(503, "The change was not accepted", LONG_RETRY_MS),
  [ErrorKind.InvalidConfiguration]: final(422, "The configuration is invalid"),
  [ErrorKind.InvalidSettings]: final(422, "The settings are invalid"),
  [ErrorKind.LeaseLost]: retryable(409, "The lease is held by another instance", LONG_RETRY_MS),
  [ErrorKind.OrderRefused]: retryable(409, "The engine refused the order", LONG_RETRY_MS),
  [ErrorKind.Internal]: retryable(500, "Internal error", SHORT_RETRY_MS),
};
