import type { SeenRequest } from "../standin/platform-upstream.js";
import type { SoakRequest } from "./soak-request.js";

const MS_PER_SECOND = 1_000;
/** Bounds of the users' deployments: a window, and what may reach an upstream in it. */
const WINDOW_MS = 4_000;
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/** Time after the first statement from which the bound holds. */
const SETTLE_MS = 3_000;
/** Time after an answer that states the limit from which its daemon is bound. */
const TOLD_MS = 500;

interface LimitedRequest {
  readonly seen: SeenRequest;
  readonly asked: SoakRequest;
}

/**
 * Compares what upstreams got with the limits that they stated; returns the broken ones. Counts the
 * requests of callers at daemons that had passed on such an answer and for which `isBound` is true.
 */
export function checkLimits(
  seen: readonly SeenRequest[],
  requests: ReadonlyMap<string, SoakRequest>,
  isBound: (request: SoakRequest) => boolean,
): string[] {
  return statedPeriods(seen).flatMap((period) => {
    const [first] = period;
    if (first?.limit === undefined) return [];
    const counted = boundRequests(period, requests, isBound);
    const allowed = (LIMIT_FACTOR * first.limit * WINDOW_MS) / MS_PER_SECOND + LIMIT_SLACK;
    const fromMs = first.atMs + SETTLE_MS;
    const times = counted.flatMap((atMs) => (atMs >= fromMs ? [atMs] : []));
    const most = Math.max(
      0,
      ...times.map((start) => times.filter((at) => at >= start && at < start + WINDOW_MS).length),
    );
    if (most <= allowed) return [];
    const limit = `its limit of ${first.limit} a second`;
    return [`${first.upstream} got ${most} requests in 4 s despite ${limit}; allowed ${allowed}`];
  });
}

/** The requests of each upstream, split where it stated another limit. */
function statedPeriods(seen: readonly SeenRequest[]): SeenRequest[][] {
  const periods: SeenRequest[][] = [];
  const current = new Map<string, SeenRequest[]>();
  for (const request of [...seen].sort((a, b) => a.atMs - b.atMs)) {
    const period = current.get(request.upstream);
    if (period !== undefined && period[0]?.limit === request.limit) period.push(request);
    else {
      const next = [request];
      current.set(request.upstream, next);
      periods.push(next);
    }
  }
  return periods;
}

/** Times at which requests of bound daemons arrived. */
function boundRequests(
  period: readonly SeenRequest[],
  requests: ReadonlyMap<string, SoakRequest>,
  isBound: (request: SoakRequest) => boolean,
): number[] {
  const sent = period.flatMap((each): LimitedRequest[] => {
    const asked = each.control ? undefined : requests.get(each.attemptId);
    return asked === undefined ? [] : [{ seen: each, asked }];
  });
  const toldMs = new Map<number, number>();
  for (const { seen, asked } of sent) {
    if (asked.signature !== `stamp-${seen.upstream}`) continue;
    toldMs.set(asked.daemon, Math.min(toldMs.get(asked.daemon) ?? Infinity, asked.endedMs));
  }
  return sent
    .filter(({ seen, asked }) => {
      return seen.atMs >= (toldMs.get(asked.daemon) ?? Infinity) + TOLD_MS && isBound(asked);
    })
    .map(({ seen }) => seen.atMs);
}
