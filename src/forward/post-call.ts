import type { Connection } from "../upstream/connection.js";
import type { EncodedCall } from "./dialect.js";

/** Makes a call with a body on a connection; rejects as the connection does. */
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
