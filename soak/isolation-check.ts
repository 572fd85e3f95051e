import type { SoakRequest } from "./soak-request.js";
import type { TroubleLog } from "./trouble-log.js";

const OK = 200;
/** Time after which requests to isolated daemons are served like others, of the users' deployments. */
const CONTACT_MS = 3_000;
/** Share of the others' service that isolated daemons reach at least. */
const LEAST_RATIO = 2 / 3;
/** Failures at isolated daemons that are allowed in any case. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

/** Names the links of a daemon to the upstreams as a part of the fleet. */
export function isolationOf(daemon: number): string {
  return `upstream links ${daemon}`;
}

/**
 * Checks that first requests are served at daemons without links to upstreams as at the others of
 * the same time. `inTouch` tells whether the bounds hold for the daemon that got a request.
 */
export function checkIsolation(
  requests: readonly SoakRequest[],
  troubles: TroubleLog,
  daemons: number,
  inTouch: (request: SoakRequest) => boolean,
): string[] {
  const isIsolated = (daemon: number, { sentMs, endedMs }: SoakRequest): boolean =>
    troubles.covers(isolationOf(daemon), sentMs - CONTACT_MS, endedMs);
  const all = Array.from({ length: daemons }, (_, at) => at);
  const compared = requests.filter((request) => {
    const own = isolationOf(request.daemon);
    const sound = troubles.calm([own], request.sentMs - CONTACT_MS, request.endedMs);
    return (
      request.id === request.first &&
      inTouch(request) &&
      (isIsolated(request.daemon, request) || sound) &&
      all.some((daemon) => isIsolated(daemon, request))
    );
  });
  const cut = compared.filter((request) => isIsolated(request.daemon, request));
  const others = compared.filter((request) => !isIsolated(request.daemon, request));
  if (cut.length === 0 || others.length === 0) return [];
  const failures = cut.length - servedOf(cut);
  const few = failures <= ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * compared.length;
  const ratio = servedOf(cut) / cut.length / (servedOf(others) / others.length);
  if (few || ratio >= LEAST_RATIO) return [];
  return [
    `${servedOf(cut)} of ${cut.length} requests served at isolated daemons, ` +
      `${servedOf(others)} of ${others.length} at the others`,
  ];
}

function servedOf(requests: readonly SoakRequest[]): number {
  return requests.filter(({ status, whole }) => status === OK && whole).length;
}
