import type { Connection } from "./connection.js";

export type ResponseHeaders = Awaited<ReturnType<Connection["request"]>>["headers"];

/** A response without a length ends with its connection; a reset may have truncated it. */
export function endedByReset(connection: Connection, headers: ResponseHeaders): boolean {
  return !hasKnownLength(headers) && connection.wasReset;
}

export function hasKnownLength(headers: ResponseHeaders): boolean {
  if (headers["content-length"] !== undefined) return true;
  // Without chunks as the last coding, a response ends with its connection.
  const codings = [headers["transfer-encoding"] ?? []].flat().join(",").split(",");
  return codings.at(-1)?.trim().toLowerCase() === "chunked";
}
