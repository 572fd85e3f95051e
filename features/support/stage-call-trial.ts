import { createServer } from "node:http";
import { BufferBudget } from "../../src/buffer/buffer-budget.js";
import { RequestDialect } from "../../platform/request-dialect.js";
import { ConnectionPools } from "../../src/forward/connection-pools.js";
import type { DecisionLines } from "../../src/forward/decision-lines.js";
import { ForwardMetrics } from "../../src/forward/forward-metrics.js";
import type { QueuedPiece } from "../../src/forward/queued-submission.js";
import { StageCaller } from "../../src/forward/stage-caller.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import type { UpstreamStatements } from "../../src/forward/upstream-statements.js";
import type { UpstreamPermits } from "../../src/limit/upstream-permits.js";
import { SystemTimers } from "../../src/time/system-timers.js";
import { freePorts } from "../../standin/free-ports.js";
import { entryOf } from "./forward-samples.js";

const CAPACITY = {
  maxCalls: 1,
  maxPieces: 1,
  baseCallMs: 20,
  pieceMs: 1,
  resultBytes: 1_000,
  ttlMs: 1_000,
};
const PIECE = {
  parent: { submission: { attemptId: "a1", stage: 0, key: "k" }, deadlineMs: Infinity },
  piece: 0,
} as unknown as QueuedPiece;

/** Outcomes of two calls, of which the upstream refuses each first one on a connection. */
export async function twoStageCalls(): Promise<string[]> {
  const [port = 0] = await freePorts(1);
  const refusal = { "nutmegstage-not-executed": "1", "content-length": "0" };
  let refused = false;
  const refusing = new WeakSet();
  const server = createServer((request, response) => {
    if (!refused) refusing.add(request.socket);
    refused = true;
    request.resume();
    if (refusing.has(request.socket)) response.writeHead(503, refusal).end();
    else response.end(JSON.stringify({ items: [{ handle: "h/1" }] }));
  });
  await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
  const timers = SystemTimers.create();
  const directory = UpstreamDirectory.create({ timers });
  const connectionPools = ConnectionPools.create({
    timers,
    forwardMetrics: ForwardMetrics.create(),
  });
  const stageCaller = StageCaller.create({
    ...{ timers, dialect: RequestDialect.create(), connectionPools, directory },
    upstreamHealth: UpstreamHealthRegistry.create({ timers, directory }),
    upstreamStatements: {
      trySend: () => true,
      recordResponse: () => undefined,
    } as unknown as UpstreamStatements,
    upstreamPermits: { expectedWaitMs: () => 0 } as unknown as UpstreamPermits,
    upstreamReach: { recordFailure: () => undefined, recordReceived: () => undefined },
    decisionLines: { write: () => undefined } as unknown as DecisionLines,
    bufferBudget: BufferBudget.create(),
  });
  const entry = entryOf({ address: `127.0.0.1:${port}` });
  const outcomes: string[] = [];
  for (let call = 0; call < 2; call += 1)
    outcomes.push((await stageCaller.call(entry, [PIECE], CAPACITY, undefined)).kind);
  connectionPools.close();
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  return outcomes;
}
