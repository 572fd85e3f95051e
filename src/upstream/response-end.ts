import type { Connection } from "./connection.js";

export type ResponseHeaders = Awaited<ReturnType<Connection["request"]>>["headers"];

/** A response without a length ends with its connection; a reset may have truncated it. */
export function endedByReset(connection: Connection, headers: ResponseHeaders): boolean {
  return !hasKnownLength(headers) && connection.wasReset;
}

export function hasKnownLength(headers: ResponseHeaders): boolean {
  return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}
