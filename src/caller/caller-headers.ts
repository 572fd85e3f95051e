import type { IncomingHttpHeaders } from "node:http";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";

const IDEMPOTENCY_KEY = /^[\x20-\x7e]{1,128}$/;
const POSITION = /^[0-9]{1,15}$/;

/** The `Idempotency-Key` of a request; throws `MalformedRequest`. */
export function idempotencyKeyOf(headers: IncomingHttpHeaders): string | undefined {
  const key = headers["idempotency-key"];
  if (key === undefined) return undefined;
  if (typeof key === "string" && IDEMPOTENCY_KEY.test(key)) return key;
  throw ServeError.create(
    ErrorKind.MalformedRequest,
    "Idempotency-Key must be 1 to 128 printable ASCII characters",
  );
}

/** The position after which a stream resumes; throws `MalformedRequest`. */
export function resumePositionOf(headers: IncomingHttpHeaders): number {
  const position = headers["last-event-id"] ?? "0";
  if (typeof position === "string" && POSITION.test(position)) return Number(position);
  throw ServeError.create(
    ErrorKind.MalformedRequest,
    "Last-Event-ID must be the id of an event of the answer, at most 15 digits",
  );
}
