import { siteBounds } from "../standin/platform-site.js";
import type { SeenRequest } from "../standin/platform-upstream.js";
import { checkIsolation } from "./isolation-check.js";
import { checkLimits } from "./limit-check.js";
import type { KeyChange, Leaving } from "./soak-fleet.js";
import type { TroubleLog } from "./trouble-log.js";
import { RequestKind, type SoakRequest, runsOnce } from "./soak-request.js";
import { checkVersions } from "./version-check.js";

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

/** What upstreams saw, and what changed around them. */
export interface Witness {
  /** Requests that upstreams ran. */
  readonly ran: readonly SeenRequest[];
  /** Requests that reached upstreams, also if these did not run them. */
  readonly seen: readonly SeenRequest[];
  readonly keys: readonly KeyChange[];
  readonly leavings: readonly Leaving[];
  readonly troubles: TroubleLog;
  /** Number of daemons. */
  readonly daemons: number;
}

/** Compares what callers and upstreams saw with the promises; returns the broken ones. */
export function checkPromises(witness: Witness, requests: readonly SoakRequest[]): string[] {
  const sent = new Map(requests.map((request) => [request.id, request]));
  const runs = new Map<string, SeenRequest[]>();
  const findings: string[] = [];
  for (const run of witness.ran) {
    if (run.control) continue;
    const id = run.attemptId;
    runs.set(id, [...(runs.get(id) ?? []), run]);
    const request = sent.get(id);
    if (request === undefined) findings.push(`${id} ran and no caller sent it`);
    else findings.push(...checkRun(witness, request, run));
  }
  for (const request of requests) {
    findings.push(...checkAnswer(witness, request, runs.get(request.id) ?? []));
  }
  const bound = (request: SoakRequest): boolean => inTouch(witness, request);
  findings.push(...checkLimits(witness.seen, sent, bound));
  findings.push(...checkVersions(requests));
  findings.push(...checkIsolation(requests, witness.troubles, witness.daemons, bound));
  return findings;
}

function checkRun(witness: Witness, request: SoakRequest, run: SeenRequest): string[] {
  const { id, kind, key, first } = request;
  const findings: string[] = [];
  const sent = { url: `/${kind}/${first}`, body: `body of ${first}`, method: "POST" };
  if (run.url !== sent.url || run.body !== sent.body || run.method !== sent.method) {
    findings.push(`${id} ran with another method, path or body`);
  }
  if (run.key !== undefined || run.team !== TEAM) {
    findings.push(`${id} ran with the key or for another team`);
  }
  const next = witness.keys.findIndex((each) => each.key === key) + 1;
  const removedMs = witness.keys[next]?.fromMs ?? Infinity;
  if (request.sentMs > removedMs + APPLY_MS + CLOCK_MS && inTouch(witness, request)) {
    findings.push(`${id} ran with a key that was removed`);
  }
  for (const { upstream, fromMs } of witness.leavings) {
    const lateMs = run.atMs - fromMs - siteBounds.drainMs - CLOCK_MS;
    if (upstream === run.upstream && lateMs > 0 && inTouch(witness, request)) {
      findings.push(`${id} ran ${lateMs} ms too late at ${upstream}`);
    }
  }
  return findings;
}

function checkAnswer(
  witness: Witness,
  request: SoakRequest,
  runs: readonly SeenRequest[],
): string[] {
  const { id, kind, status } = request;
  const findings: string[] = [];
  if (runsOnce(kind) && runs.length > 1) findings.push(`${id} ran ${runs.length} times`);
  if (runsOnce(kind) && PROMISES.has(status) && runs.length > 0) {
    findings.push(`${id} was answered ${status} and ran`);
  }
  if (status === OK && request.whole) findings.push(...checkContent(request));
  const current = witness.keys.findLast(({ fromMs }) => fromMs <= request.sentMs);
  // A request that is under way when its key is replaced may be judged by either configuration.
  const replaced = witness.keys.some(({ fromMs }) => {
    return fromMs > request.sentMs && fromMs <= request.endedMs;
  });
  const inForce = current?.key === request.key && request.sentMs > current.fromMs + APPLY_MS;
  const known = inForce && !replaced;
  if (status === UNAUTHORIZED && known && inTouch(witness, request)) {
    findings.push(`${id} was answered ${status} with a valid key`);
  }
  return findings;
}

function checkContent({ id, kind, after, answered, signature, body }: SoakRequest): string[] {
  const findings: string[] = [];
  if (answered !== id) findings.push(`${id} got another answer`);
  if (signature === undefined) findings.push(`${id} unsigned`);
  const streamed = kind === RequestKind.Staged || kind === RequestKind.Resumable;
  if (!streamed && body !== `answer to ${id}`) findings.push(`${id} got "${body}"`);
  const events = [...body.matchAll(/^id: (\d+)$/gm)].map(([, event]) => event);
  if (streamed && events.join() !== EVENTS.slice(after).join()) {
    findings.push(`${id} ended as complete with the events ${events.join()}`);
  }
  return findings;
}

/** Whether the bounds hold for the daemon that got a request. */
function inTouch(witness: Witness, { daemon, sentMs, endedMs }: SoakRequest): boolean {
  return witness.troubles.calm([`daemon ${daemon}`, "store"], sentMs - CONTACT_MS, endedMs);
}
