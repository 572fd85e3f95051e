import type { Socket } from "node:net";
import { ErrorKind } from "../error/error-kind.js";
import { problemOf } from "../error/problem.js";
import { ServeError } from "../error/serve-error.js";
import type { RandomSource } from "../random/random-source.js";

/**
 * Answers bytes that are not an HTTP request, for which no reply object exists, with a problem
 * document, and closes the connection.
 */
export function answerConnectionError(
  error: Error & { code?: string },
  socket: Socket,
  responding: boolean,
  random: RandomSource,
): void {
  // After a reset nothing can be sent; a response in progress must not be mixed with another one.
  if (error.code === "ECONNRESET" || !socket.writable || responding) {
    socket.destroy();
    return;
  }
  const problem = problemOf(serveErrorOf(error.code), random);
  const body = JSON.stringify(problem);
  const head = [
    `HTTP/1.1 ${problem.status} ${problem.title}`,
    "content-type: application/problem+json",
    `content-length: ${Buffer.byteLength(body)}`,
    ...(problem.retryAfter === undefined ? [] : [`retry-after: ${problem.retryAfter}`]),
    "connection: close",
  ];
  socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
}

function serveErrorOf(code: string | undefined): ServeError {
  if (code === "HPE_HEADER_OVERFLOW") {
    return ServeError.create(ErrorKind.HeadersTooLarge, "send smaller headers");
  }
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
    return ServeError.create(ErrorKind.RequestTimeout, "the request took too long to arrive");
  }
  return ServeError.create(ErrorKind.MalformedRequest, "the bytes are not an HTTP request");
}
