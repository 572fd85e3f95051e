import type { FastifyReply } from "fastify";
import { ErrorKind } from "../error/error-kind.js";
import { type Problem, problemOf } from "../error/problem.js";
import { ServeError } from "../error/serve-error.js";
import type { RandomSource } from "../random/random-source.js";

const PROBLEM_TYPE = "application/problem+json";
const BODY_TOO_LARGE = 413;
const SERVER_ERROR = 500;

/** Answers with the problem document of anything that was thrown, fastify's own errors included. */
export function replyWithError(
  reply: FastifyReply,
  error: unknown,
  random: RandomSource,
): FastifyReply {
  return replyWithProblem(reply, problemOf(serveErrorOf(error), random));
}

/** Answers with a problem document, which may have further members, and its `Retry-After`. */
export function replyWithProblem(reply: FastifyReply, problem: Problem): FastifyReply {
  if (problem.retryAfter !== undefined) reply.header("retry-after", problem.retryAfter);
  return reply.status(problem.status).type(PROBLEM_TYPE).send(problem);
}

function serveErrorOf(error: unknown): ServeError {
  if (error instanceof ServeError) return error;
  const status = (error as { statusCode?: number }).statusCode ?? SERVER_ERROR;
  // The text of an unexpected error may hold data of other requests.
  if (status >= SERVER_ERROR) {
    return ServeError.create(ErrorKind.Internal, "unexpected error", { cause: error });
  }
  const kind = status === BODY_TOO_LARGE ? ErrorKind.BodyTooLarge : ErrorKind.MalformedRequest;
  return ServeError.from(error, kind);
}
