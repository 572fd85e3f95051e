import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { Connection } from "./connection.js";
import { UpstreamCondition } from "./upstream-condition.js";

const PROBE_TIMEOUT_MS = 500;
/** A dying process may close a connection shortly before it stops to listen. */
const RETRY_DELAY_MS = 30;
const MAX_ATTEMPTS = 2;
const HEALTH_PATH = "/load";

/** Finds the condition of an upstream over fresh connections. Never throws. */
export async function probeUpstream(address: string, timers: Timers): Promise<UpstreamCondition> {
  const late = new AbortController();
  const timeout = timers.after(PROBE_TIMEOUT_MS, () => {
    late.abort(ServeError.create(ErrorKind.UpstreamFailed, "the probe was not answered"));
  });
  try {
    let condition = UpstreamCondition.Silent;
    for (let attempt = 0; attempt < MAX_ATTEMPTS && !late.signal.aborted; attempt += 1) {
      if (attempt > 0) await timers.sleep(RETRY_DELAY_MS);
      condition = await probeOnce(address, timers, late.signal);
      if (condition !== UpstreamCondition.Silent) return condition;
    }
    return condition;
  } finally {
    timeout.cancel();
  }
}

async function probeOnce(
  address: string,
  timers: Timers,
  signal: AbortSignal,
): Promise<UpstreamCondition> {
  let connection: Connection | undefined;
  try {
    connection = await Connection.open(address, timers, signal);
    // Any status shows that the upstream answers.
    const { body } = await connection.request({ path: HEALTH_PATH, method: "GET", signal });
    body.on("error", () => undefined);
    return UpstreamCondition.Answers;
  } catch (error) {
    const refused = error instanceof ServeError && error.kind === ErrorKind.UpstreamCrashed;
    return refused ? UpstreamCondition.Refuses : UpstreamCondition.Silent;
  } finally {
    connection?.destroy();
  }
}
