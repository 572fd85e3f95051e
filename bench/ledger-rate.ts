// Measures the rate of claims with results against the stand-in table limited to 300 writes/s.
import { fileURLToPath } from "node:url";
import { createConsola } from "consola";
import { nanoid } from "nanoid";
import { ServeError } from "../src/error/serve-error.js";
import { ErrorKind } from "../src/error/error-kind.js";
import { AttemptState } from "../src/ledger/attempt-state.js";
import { ClaimHolders } from "../src/ledger/claim-holders.js";
import { ClaimWrites } from "../src/ledger/claim-writes.js";
import { TableBreaker } from "../src/ledger/table-breaker.js";
import { TableLedger } from "../src/ledger/table-ledger.js";
import { WriteBatcher } from "../src/ledger/write-batcher.js";
import { DynamoTable } from "../src/table/dynamo-table.js";
import type { Table } from "../src/table/table.js";
import type { TableWrite } from "../src/table/table-write.js";
import { RandomSource } from "../src/random/random-source.js";
import { SystemTimers } from "../src/time/system-timers.js";
import { Child } from "../standin/child.js";
import { freePorts } from "../standin/free-ports.js";

const WRITES_PER_SECOND = 300;
const WORKERS = 200;
const RUN_MS = 10_000;
const STANDIN = fileURLToPath(new URL("../standin/program.js", import.meta.url));

async function measure(batchWrites: number, countTransactions: boolean): Promise<object> {
  const [port = 0] = await freePorts(1);
  const endpoint = `http://127.0.0.1:${port}`;
  const child = await Child.create(STANDIN, ["--kind", "table", "--port", String(port)]);
  await fetch(`${endpoint}/control`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ writesPerSecond: WRITES_PER_SECOND, countTransactions, delayMs: 5 }),
  });
  const count = { transactions: 0, writes: 0, finished: 0, refused: 0 };
  const ledger = ledgerOf(endpoint, batchWrites, count);
  const latencies: number[] = [];
  const end = performance.now() + RUN_MS;
  const worker = async (): Promise<void> => {
    while (performance.now() < end) {
      const start = performance.now();
      const request = nanoid();
      try {
        const entry = { team: "t", idempotencyKey: request, contentDigest: "d", request };
        const answer = await ledger.claim(entry);
        if (answer.kind !== "claimed") throw new Error(answer.kind);
        latencies.push(performance.now() - start);
        await answer.claim.finish("done");
        if (performance.now() < end) count.finished += 1;
      } catch (error) {
        count.refused += 1;
        const { retryAfterMs = 0 } = ServeError.from(error, ErrorKind.Internal);
        await SystemTimers.create().sleep(Math.min(retryAfterMs, 1_000));
      }
    }
  };
  await Promise.all(Array.from({ length: WORKERS }, worker));
  await child.end();
  latencies.sort((a, b) => a - b);
  const seconds = RUN_MS / 1_000;
  return {
    batchWrites,
    limit: countTransactions ? "300 transactions/s" : "300 writes/s",
    requestsPerSecond: count.finished / seconds,
    transactionsPerSecond: count.transactions / seconds,
    writesSentPerSecond: count.writes / seconds,
    refusedPerSecond: count.refused / seconds,
    claimP50Ms: Math.round(latencies[Math.floor(latencies.length * 0.5)] ?? 0),
    claimP99Ms: Math.round(latencies[Math.floor(latencies.length * 0.99)] ?? 0),
  };
}

function ledgerOf(
  endpoint: string,
  batchWrites: number,
  count: { transactions: number; writes: number },
): TableLedger {
  const timers = SystemTimers.create();
  const inner = DynamoTable.create({
    ...{ endpoint, name: "nutmegstage", region: "local", requestTimeoutMs: 1_000 },
    ...{ accessKeyId: "local", secretAccessKey: "local" },
  });
  const table: Table = {
    get: (key) => inner.get(key),
    query: (...args) => inner.query(...args),
    transact: (writes, token) => {
      count.transactions += 1;
      count.writes += writes.length;
      return inner.transact(writes, token);
    },
  };
  const random = RandomSource.create(1);
  const log = createConsola({ level: -1 });
  const tableBreaker = TableBreaker.create({ table, timers, random, log });
  const writeBatcher =
    batchWrites === 1
      ? { write: (write: TableWrite) => tableBreaker.observe(() => writeAlone(table, write)) }
      : WriteBatcher.create({ table, timers, tableBreaker }, batchWrites);
  const members = {
    self: "a",
    all: () => [],
    find: () => undefined,
    subscribe: () => ({ cancel: () => undefined }),
  };
  const claimHolders = ClaimHolders.create({
    members,
    peerCalls: { call: () => Promise.reject(new Error("no peers")) },
    attemptStates: { stateOf: () => AttemptState.Unknown },
    incarnation: 1,
  });
  return TableLedger.create({
    ...{ table, timers, random, log, tableBreaker, writeBatcher },
    claimWrites: ClaimWrites.create(),
    ...{ members, claimHolders, incarnation: 1 },
  });
}

async function writeAlone(table: Table, write: TableWrite): Promise<boolean> {
  return (await table.transact([write], nanoid())).kind === "committed";
}

for (const countTransactions of [false, true]) {
  for (const batchWrites of [1, 100]) {
    process.stdout.write(`${JSON.stringify(await measure(batchWrites, countTransactions))}\n`);
  }
}
