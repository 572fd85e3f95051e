import type { SeenRequest } from "../standin/platform-upstream.js";
import { DRAIN_MS, type SoakFleet } from "./soak-fleet.js";
import { RequestKind, type SoakRequest, runsOnce } from "./soak-request.js";

/** Statuses that promise that the request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const OK = 200;
const UNAUTHORIZED = 401;
const EVENTS = ["1", "2", "3", "4", "5"];
/** Time within which a configuration is in force, of the users' deployments. */
const APPLY_MS = 2_000;
/** Time without disturbances after which the bounds hold, of the users' deployments. */
const CONTACT_MS = 3_000;
/** Time that the bookkeeping of this process may be behind, in ms. */
const CLOCK_MS = 100;
const TEAM = "team-1";

/** Compares what callers and upstreams saw with the promises; returns the broken ones. */
export function checkPromises(fleet: SoakFleet, requests: readonly SoakRequest[]): string[] {
  const sent = new Map(requests.map((request) => [request.id, request]));
  const runs = new Map<string, SeenRequest[]>();
  const findings: string[] = [];
  for (const run of fleet.upstreams.flatMap(({ ran }) => ran)) {
    if (run.url.startsWith("/nutmegstage/")) continue;
    const id = String(run.headers["nutmegstage-attempt-id"]);
    runs.set(id, [...(runs.get(id) ?? []), run]);
    const request = sent.get(id);
    if (request === undefined) findings.push(`UNASKED: ${id} ran and no caller sent it`);
    else findings.push(...checkRun(fleet, request, run));
  }
  for (const request of requests) {
    findings.push(...checkAnswer(fleet, request, runs.get(request.id) ?? []));
  }
  return findings;
}

function checkRun(fleet: SoakFleet, request: SoakRequest, run: SeenRequest): string[] {
  const { id, kind, key } = request;
  const findings: string[] = [];
  const { headers } = run;
  if (run.url !== `/${kind}/${id}` || run.body !== `body of ${id}` || run.method !== "POST") {
    findings.push(`UNASKED: ${id} ran with another method, path or body`);
  }
  if (headers["x-api-key"] !== undefined || headers["nutmegstage-tenant"] !== TEAM) {
    findings.push(`UNASKED: ${id} ran with the key or for another team`);
  }
  const next = fleet.keys.findIndex((each) => each.key === key) + 1;
  const removedMs = fleet.keys[next]?.fromMs ?? Infinity;
  if (request.sentMs > removedMs + APPLY_MS + CLOCK_MS && inTouch(fleet, request)) {
    findings.push(`CONFIG: ${id} ran with a key that was removed`);
  }
  for (const { upstream, fromMs } of fleet.leavings) {
    const lateMs = run.atMs - fromMs - DRAIN_MS - CLOCK_MS;
    if (upstream === run.upstream && lateMs > 0 && inTouch(fleet, request)) {
      findings.push(`DRAIN: ${id} ran ${lateMs} ms too late at ${upstream}`);
    }
  }
  return findings;
}

function checkAnswer(
  fleet: SoakFleet,
  request: SoakRequest,
  runs: readonly SeenRequest[],
): string[] {
  const { id, kind, status } = request;
  const findings: string[] = [];
  if (runsOnce(kind) && runs.length > 1) findings.push(`TWICE: ${id} ran ${runs.length} times`);
  if (runsOnce(kind) && PROMISES.has(status) && runs.length > 0) {
    findings.push(`REFUSED: ${id} was answered ${status} and ran`);
  }
  if (status === OK && request.whole) findings.push(...checkContent(request));
  const current = fleet.keys.findLast(({ fromMs }) => fromMs <= request.sentMs);
  const known = current?.key === request.key && request.sentMs > current.fromMs + APPLY_MS;
  if (status === UNAUTHORIZED && known && inTouch(fleet, request)) {
    findings.push(`DENIED: ${id} was answered ${status} with a valid key`);
  }
  return findings;
}

function checkContent({ id, kind, headers, body }: SoakRequest): string[] {
  const findings: string[] = [];
  if (headers["nutmegstage-attempt-id"] !== id) findings.push(`MIXED: ${id} got another answer`);
  if (headers["nutmegstage-replica-stamp"] === undefined) findings.push(`MIXED: ${id} unsigned`);
  const streamed = kind === RequestKind.Staged || kind === RequestKind.Resumable;
  if (!streamed && body !== `answer to ${id}`) findings.push(`MIXED: ${id} got "${body}"`);
  const events = [...body.matchAll(/^id: (\d+)$/gm)].map(([, event]) => event);
  if (streamed && events.join() !== EVENTS.join()) {
    findings.push(`ORDER: ${id} ended as complete with the events ${events.join()}`);
  }
  return findings;
}

/** Whether the bounds hold for the daemon that got a request. */
function inTouch(fleet: SoakFleet, { daemon, sentMs, endedMs }: SoakRequest): boolean {
  return fleet.troubles.calm([`daemon ${daemon}`, "store"], sentMs - CONTACT_MS, endedMs);
}
