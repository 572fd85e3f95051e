// Starts stand-ins and three daemons on loopback, sends requests of each rank through a four-stage
// pipeline while an operator changes a target and removes an upstream and one daemon stops, and
// prints what was served, where and how fast. Exits 1 if an answer is missing or incomplete.
import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";
import { post } from "../features/support/caller.js";
import { OperatorClient } from "../src/client/operator-client.js";
import { SystemTimers } from "../src/time/system-timers.js";
import { Fleet, OPERATOR_CREDENTIAL, type FleetDaemon } from "../standin/fleet.js";
import { sampleCredentials } from "../standin/sample-configuration.js";
import { attemptsByUpstream } from "./attempts-by-upstream.js";
import { type DemoRequest, classFigures } from "./class-figures.js";

const CLASSES = ["fitting", "chat", "summary"];
const REQUESTS_PER_CLASS = 40;
const INTERVAL_MS = 25;
const DEADLINE_MS = 10_000;
const TOKENS = 24;
const CHANGE_BOUND_MS = 5_000;
const POLL_MS = 50;
const print = (line: string): void => void process.stdout.write(`${line}\n`);

async function request(daemon: FleetDaemon, className: string, at: number): Promise<DemoRequest> {
  const start = performance.now();
  const answer = await post(daemon.url, {
    credential: sampleCredentials.seamstresses,
    pipeline: "advice",
    body: {
      class: className,
      deadlineMs: DEADLINE_MS,
      input: { text: `which kaftan fits ${at}`, maxTokens: TOKENS },
    },
  });
  const whole = answer.events.at(-1)?.kind === "end" && answer.events.length === TOKENS + 1;
  return { className, whole, durationMs: performance.now() - start };
}

async function sendAll(daemons: readonly FleetDaemon[]): Promise<DemoRequest[]> {
  const running: Promise<DemoRequest>[] = [];
  for (let at = 0; at < REQUESTS_PER_CLASS * CLASSES.length; at += 1) {
    const daemon = daemons[at % daemons.length];
    const className = CLASSES[at % CLASSES.length] ?? "";
    if (daemon !== undefined) running.push(request(daemon, className, at));
    await delay(INTERVAL_MS / CLASSES.length);
  }
  return Promise.all(running);
}

function operatorOf({ settings }: FleetDaemon): OperatorClient {
  const server = `http://127.0.0.1:${settings.operators.port}`;
  return OperatorClient.create({ server, credential: OPERATOR_CREDENTIAL }, SystemTimers.create());
}

/** Waits until every daemon has a configuration version in force; returns the time in ms. */
async function inForce(daemons: readonly FleetDaemon[], version: number): Promise<number> {
  const start = performance.now();
  for (const daemon of daemons) {
    for (;;) {
      const status = (await operatorOf(daemon).get("/v1/status")) as {
        configurationVersion: number;
      };
      if (status.configurationVersion >= version) break;
      if (performance.now() - start > CHANGE_BOUND_MS)
        throw new Error(`version ${version} is late`);
      await delay(POLL_MS);
    }
  }
  return performance.now() - start;
}

/** The version that a change led to. */
async function accepted(result: Promise<unknown>): Promise<number> {
  return z.object({ change: z.object({ version: z.number() }) }).parse(await result).change.version;
}

/** Changes the configuration, then stops one daemon, which `balanced` no longer holds by then. */
async function operate(daemons: readonly FleetDaemon[], balanced: FleetDaemon[]): Promise<void> {
  const [first, , last] = daemons;
  if (first === undefined || last === undefined) throw new Error("the demo needs three daemons");
  const operator = operatorOf(first);
  const target = { changeId: "demo-target", timeMs: 2_000, share: 0.95 };
  const targeted = await accepted(operator.change("PUT", "/v1/classes/chat/target", target));
  print(
    `target of chat changed: version ${targeted}, in force on 3 daemons after ${(
      await inForce(daemons, targeted)
    ).toFixed(0)} ms`,
  );
  const path = "/v1/upstreams/advice-3?changeId=demo-removal";
  const removed = await accepted(operator.change("DELETE", path));
  print(
    `upstream advice-3 leaving: version ${removed}, in force on 3 daemons after ${(
      await inForce(daemons, removed)
    ).toFixed(0)} ms`,
  );
  balanced.pop();
  print(
    `daemon ${last.settings.instance.id} stopped by SIGTERM: exit code ${await last.child.end()}`,
  );
}

const fleet = await Fleet.create({
  daemons: 3,
  services: { encoder: 2, retriever: 2, reranker: 2, advice: 3, booking: 2 },
});
const served: DemoRequest[] = [];
try {
  const balanced = [...fleet.daemons];
  print(`3 daemons and ${fleet.upstreams.size} upstreams run on loopback`);
  const [requests] = await Promise.all([sendAll(balanced), operate(fleet.daemons, balanced)]);
  served.push(...requests, ...(await sendAll(balanced)));
  print("\nclass     sent  whole  median ms  slowest ms");
  for (const { className, sent, whole, medianMs, slowestMs } of classFigures(served)) {
    const cells = [sent, whole, medianMs.toFixed(0), slowestMs.toFixed(0)];
    const widths = [5, 6, 10, 11];
    print(
      className.padEnd(9) +
        cells.map((cell, at) => String(cell).padStart(widths[at] ?? 0)).join(" "),
    );
  }
  print("\nupstream       attempts");
  const lines = fleet.daemons.flatMap((daemon) => daemon.child.output);
  for (const [upstream, count] of attemptsByUpstream(lines)) {
    print(upstream.padEnd(14) + String(count).padStart(9));
  }
} finally {
  await fleet.stop();
}
const missing = served.filter(({ whole }) => !whole).length;
print(`\n${served.length - missing} whole answers, ${missing} missing or incomplete`);
process.exitCode = missing > 0 || served.length === 0 ? 1 : 0;
