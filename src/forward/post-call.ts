import type { Connection } from "../upstream/connection.js";
import type { EncodedCall } from "./dialect.js";

/** Sends an encoded call on a connection; rejects with the errors of `Connection.request`. */
export function postCall(
  connection: Connection,
  call: EncodedCall,
  signal: AbortSignal,
): ReturnType<Connection["request"]> {
  const headers = [...call.headers];
  return connection.request({
    path: call.path,
    method: "POST",
    headers,
    body: call.body,
    signal,
  });
}
