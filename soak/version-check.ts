import type { SoakRequest } from "./soak-request.js";

const OK = 200;
const COMPLETE_EVENT = /^id: \d+\ndata: token \d+ of (\S+)\n\n/gm;

/** Checks that no stream holds events of two software versions, over all requests for it. */
export function checkVersions(requests: readonly SoakRequest[]): string[] {
  const versions = new Map<string, Set<string>>();
  for (const { status, first, body } of requests) {
    if (status !== OK) continue;
    const seen = versions.get(first) ?? new Set();
    for (const [, version = ""] of body.matchAll(COMPLETE_EVENT)) seen.add(version);
    versions.set(first, seen);
  }
  return [...versions].flatMap(([first, { size }]) =>
    size > 1 ? [`${first} holds events of ${size} software versions`] : [],
  );
}
