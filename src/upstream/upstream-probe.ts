import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Timers } from "../time/timers.js";
import { Connection } from "./connection.js";
import { UpstreamCondition } from "./upstream-condition.js";

const PROBE_TIMEOUT_MS = 500;
/** A process that exits may close its connections shortly before its listening socket. */
const RETRY_DELAY_MS = 30;
const MAX_ATTEMPTS = 2;
const HEALTH_PATH = "/load";

/** Checks the condition of an upstream over fresh connections. Never rejects. */
export async function probeUpstream(address: string, timers: Timers): Promise<UpstreamCondition> {
  const timedOut = new AbortController();
  const timeout = timers.after(PROBE_TIMEOUT_MS, () => {
    timedOut.abort(
      ServeError.create(ErrorKind.UpstreamFailed, "the upstream did not answer the probe in time"),
    );
  });
  try {
    let condition = UpstreamCondition.Silent;
    for (let attempt = 0; attempt < MAX_ATTEMPTS && !timedOut.signal.aborted; attempt += 1) {
      if (attempt > 0) await timers.sleep(RETRY_DELAY_MS);
      condition = await probeOnce(address, timers, timedOut.signal);
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
    // A response with any status shows that the upstream answers.
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
