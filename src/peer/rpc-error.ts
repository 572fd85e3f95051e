import { JSONRPCErrorException } from "json-rpc-2.0";
import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { Outcome } from "../error/outcome.js";
import { ServeError } from "../error/serve-error.js";

/** First code of the range that JSON-RPC 2.0 leaves to applications. */
const APPLICATION_ERROR = -32_000;

const dataSchema = z.object({
  kind: z.enum(ErrorKind),
  outcome: z.enum(Outcome),
  retryAfterMs: z.number().nonnegative().optional(),
});

interface RpcError {
  readonly code: number;
  readonly message: string;
  readonly data: z.input<typeof dataSchema>;
}

/** The JSON-RPC error that carries a `ServeError` to a peer. */
export function rpcErrorOf(thrown: unknown): RpcError {
  const { kind, outcome, retryAfterMs, message } = ServeError.from(thrown, ErrorKind.Internal);
  return { code: APPLICATION_ERROR, message, data: { kind, outcome, ...retryOf(retryAfterMs) } };
}

/** The peer's own `ServeError`, or `PeerUnavailable` for any other failure of a call. */
export function serveErrorOfCall(thrown: unknown, instance: string): ServeError {
  if (thrown instanceof ServeError) return thrown;
  const data =
    thrown instanceof JSONRPCErrorException ? dataSchema.safeParse(thrown.data) : undefined;
  if (data?.success === true) {
    const { kind, outcome, retryAfterMs } = data.data;
    const context = { cause: thrown, outcome, ...retryOf(retryAfterMs) };
    return ServeError.create(kind, (thrown as Error).message, context);
  }
  const detail = thrown instanceof Error ? thrown.message : String(thrown);
  return ServeError.create(ErrorKind.PeerUnavailable, `instance "${instance}": ${detail}`, {
    cause: thrown,
  });
}

function retryOf(retryAfterMs: number | undefined): { retryAfterMs?: number } {
  return retryAfterMs === undefined ? {} : { retryAfterMs };
}
