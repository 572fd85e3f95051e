import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { VersionPlaces } from "./version-plan.js";

/** Difference of a version's share of the places from which a new distribution is due. */
const MIN_SHARE_CHANGE = 0.03;

/** Places of upstreams by software version, ordered by version. */
export function versionPlaces(entries: readonly UpstreamEntry[]): VersionPlaces {
  const places = new Map<string, number>();
  for (const { softwareVersion, slots } of entries)
    places.set(softwareVersion, (places.get(softwareVersion) ?? 0) + Math.max(1, slots));
  return [...places].sort(([a], [b]) => (a < b ? -1 : 1));
}

/** Whether the shares of versions differ by more than a plan follows. */
export function sharesDiffer(planned: VersionPlaces, present: VersionPlaces): boolean {
  const before = sharesOf(planned);
  const after = sharesOf(present);
  if (before.size !== after.size) return true;
  return [...after].some(
    ([version, share]) => Math.abs((before.get(version) ?? -1) - share) > MIN_SHARE_CHANGE,
  );
}

function sharesOf(places: VersionPlaces): ReadonlyMap<string, number> {
  const total = places.reduce((sum, [, count]) => sum + count, 0);
  return new Map(places.map(([version, count]) => [version, count / total]));
}
