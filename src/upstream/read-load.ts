import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { Connection } from "./connection.js";
import { readBoundedText } from "./read-bounded-text.js";

const MAX_REPORT_BYTES = 65_536;
const loadSchema = z.object({ server_load: z.number().nonnegative() });

/**
 * Reads the load that an upstream reports, over a fresh connection: an idle connection that has
 * gone silent must not make a healthy upstream look unreachable. Throws `UpstreamCrashed`, `UpstreamFailed` or the signal's reason.
 */
export async function readLoad(
  address: string,
  timers: Timers,
  signal: AbortSignal,
): Promise<number> {
  const connection = await Connection.open(address, timers, signal);
  try {
    const { body } = await connection.request({ path: "/load", method: "GET", signal });
    const text = await readBoundedText(body, MAX_REPORT_BYTES);
    return loadSchema.parse(JSON.parse(text)).server_load;
  } catch (error) {
    throw ServeError.from(signal.aborted ? signal.reason : error, ErrorKind.UpstreamFailed);
  } finally {
    connection.destroy();
  }
}
