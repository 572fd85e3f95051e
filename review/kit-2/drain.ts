import { once } from "node:events";
import type { IncomingMessage } from "node:http";

/** Reads a request to its end and drops its body; rejects if its channel ends before. */
export async function drain(request: IncomingMessage): Promise<void> {
  request.resume();
  if (!request.complete) await once(request, "end");
}
