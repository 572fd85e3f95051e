import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { ForwardRequest } from "../forward/forward-request.js";

const LENGTH_BYTES = 4;

const headSchema = z.object({
  method: z.string(),
  target: z.string(),
  /** Names and values as received from the caller. */
  rawHeaders: z.array(z.string()),
  /** Time since the request arrived at the first instance, in ms. */
  elapsedMs: z.number().nonnegative(),
});

/** Encodes a request for another instance: the length of its head, the head, and the body. */
export function encodeRelayedRequest(request: ForwardRequest, now: number): Buffer {
  const { method, target, rawHeaders, body, arrivedMs } = request;
  const head = Buffer.from(
    JSON.stringify({ method, target, rawHeaders, elapsedMs: Math.max(0, now - arrivedMs) }),
  );
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(head.length);
  return Buffer.concat([length, head, body]);
}

/** Decodes a request that arrives at `now`; throws `MalformedRequest`. */
export function decodeRelayedRequest(
  bytes: Buffer,
  now: number,
  signal: AbortSignal,
): ForwardRequest {
  try {
    const end = LENGTH_BYTES + bytes.readUInt32BE(0);
    const json: unknown = JSON.parse(bytes.subarray(LENGTH_BYTES, end).toString());
    const { elapsedMs, ...head } = headSchema.parse(json);
    return {
      ...head,
      headers: headersOf(head.rawHeaders),
      body: bytes.subarray(end),
      arrivedMs: now - elapsedMs,
      signal,
      relayed: true,
    };
  } catch (error) {
    throw ServeError.create(ErrorKind.MalformedRequest, String(error));
  }
}

function headersOf(rawHeaders: readonly string[]): ForwardRequest["headers"] {
  const headers: Record<string, string> = {};
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = rawHeaders[at]?.toLowerCase() ?? "";
    headers[name] ??= rawHeaders[at + 1] ?? "";
  }
  return headers;
}
