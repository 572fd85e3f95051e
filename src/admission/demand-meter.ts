import type { Rank } from "../configuration/rank.js";
import type { Timers } from "../time/timers.js";
import { DecayedSum } from "./decayed-sum.js";
import type { DemandDigest } from "./demand-digest.js";
import type { DemandSource } from "./demand-source.js";

const RATE_WINDOW_MS = 3_000;
const MS_PER_SECOND = 1_000;
/** Bounds the digest to about 3 KB; current deployments have at most 75 entries. */
const MAX_TEAM_ENTRIES = 80;
/** Each service reads the digest several times a second; sorting 1,200 teams takes milliseconds. */
const DIGEST_INTERVAL_MS = 50;
const MIN_RATE_MS_PER_SECOND = 0.01;

/** Measures the rate of work that callers request of this instance, refused work included. */
export class DemandMeter implements DemandSource {
  private readonly services = new Map<string, DecayedSum>();
  private readonly teams = new Map<string, DecayedSum>();

  private latest: { readonly computedAt: number; readonly digest: DemandDigest } | undefined;

  private constructor(private readonly timers: Timers) {}

  static create(parts: { timers: Timers }): DemandMeter {
    return new DemandMeter(parts.timers);
  }

  /** Key of a team's entry in a digest. */
  static key(service: string, rank: Rank, team: string): string {
    return `${service}|${rank}|${team}`;
  }

  recordOffered(service: string, rank: Rank, team: string, costMs: number): void {
    add(this.services, service, costMs, this.timers.now());
    add(this.teams, DemandMeter.key(service, rank, team), costMs, this.timers.now());
  }

  digest(): DemandDigest {
    const now = this.timers.now();
    if (this.latest === undefined || now - this.latest.computedAt >= DIGEST_INTERVAL_MS) {
      this.latest = { computedAt: now, digest: this.computeDigest(now) };
    }
    return this.latest.digest;
  }

  private computeDigest(now: number): DemandDigest {
    const largest = rates(this.teams, now)
      .sort((a, b) => b[1] - a[1])
      .slice(0, MAX_TEAM_ENTRIES);
    return {
      services: Object.fromEntries(rates(this.services, now)),
      teams: Object.fromEntries(largest),
    };
  }
}

function add(sums: Map<string, DecayedSum>, key: string, costMs: number, now: number): void {
  let sum = sums.get(key);
  if (sum === undefined) sums.set(key, (sum = DecayedSum.create(RATE_WINDOW_MS, now)));
  sum.add(costMs, now);
}

function rates(sums: Map<string, DecayedSum>, now: number): [string, number][] {
  const result: [string, number][] = [];
  for (const [key, sum] of sums) {
    const rate = sum.rate(now) * MS_PER_SECOND;
    if (rate < MIN_RATE_MS_PER_SECOND) sums.delete(key);
    else result.push([key, rate]);
  }
  return result;
}
