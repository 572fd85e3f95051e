import { StreamVersion } from "../../src/version/stream-version.js";
import type { CrashReports } from "../../src/crash/crash-reports.js";
import type { PromptGuard } from "../../src/crash/prompt-guard.js";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { DispatchLoop } from "../../src/forward/dispatch-loop.js";
import type { RequestContext } from "../../src/forward/request-context.js";
import { StreamProgress } from "../../src/forward/stream-progress.js";
import { UpstreamHealth } from "../../src/forward/upstream-health.js";
import { SystemTimers } from "../../src/time/system-timers.js";
import { RequestDialect } from "../../platform/request-dialect.js";
import { freePorts } from "../../standin/free-ports.js";
import { RawUpstream, ResponseEnd } from "../../standin/raw-upstream.js";
import { entryOf, routeOf } from "./forward-samples.js";

const DEADLINE_MS = 200;
const PAUSE_MS = 5_000;

/**
 * The error of a request whose first attempt breaks off, and whose deadline passes while its second
 * one waits because of a suspect part.
 */
export async function pausedRetryError(): Promise<ServeError> {
  const [port = 0] = await freePorts(1);
  const upstream = await RawUpstream.create(port, [[]], ResponseEnd.Close);
  const timers = SystemTimers.create();
  const deadline = new AbortController();
  timers.after(DEADLINE_MS, () => {
    deadline.abort(ServeError.create(ErrorKind.DeadlineExceeded, "the deadline has passed"));
  });
  let selections = 0;
  const health = UpstreamHealth.create(timers, 0);
  const entry = entryOf({ address: `127.0.0.1:${port}` });
  const ignore = (): undefined => undefined;
  const parts = {
    timers,
    dialect: RequestDialect.create(),
    directory: { forService: () => [entry] },
    brittleUpstreams: { isClosed: () => false, recordRejection: ignore },
    upstreamHealth: { of: () => health },
    upstreamSelector: { retryAfter: () => ({}) },
    permittedSelection: {
      select: () => Promise.resolve({ kind: "selected", entry, permit: undefined }),
    },
    upstreamStatements: { isOpen: () => true, trySend: () => true, recordResponse: ignore },
    enginePlacement: { begin: ignore },
    retryBudget: { recordRequest: ignore, tryTakeRetry: () => true },
    crashRegistry: { isSuspected: () => false },
    crashReports: { record: () => Promise.resolve(false) } as unknown as CrashReports,
    promptGuard: {
      pauseMs: () => (selections++ === 0 ? 0 : PAUSE_MS),
      isConvicted: () => false,
      recordAnswer: ignore,
    } as unknown as PromptGuard,
    decisionLines: { write: ignore },
    forwardMetrics: { recordAttempt: ignore },
  } as unknown as Parameters<typeof DispatchLoop.create>[0];
  const context = {
    request: { method: "GET", target: "/", rawHeaders: [], body: Buffer.alloc(0), arrivedMs: 0 },
    attributes: { attemptId: "a1", promptParts: [] },
    route: routeOf({}),
    ...{ rank: 0, service: "s", digest: "d", sharedParts: ["p"], onTrial: false },
    ...{ targetMs: PAUSE_MS, deadlineMs: timers.now() + DEADLINE_MS, signal: deadline.signal },
    writer: { started: false },
    progress: StreamProgress.create(undefined),
  } as unknown as RequestContext;
  try {
    await DispatchLoop.create(
      parts,
      context,
      StreamVersion.unrestricted(),
      undefined,
      ignore,
    ).run();
    throw new Error("the request was served");
  } catch (error) {
    return ServeError.from(error, ErrorKind.Internal);
  } finally {
    await upstream.stop();
  }
}
