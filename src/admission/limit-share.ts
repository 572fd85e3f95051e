import { type Rank, ranksInOrder } from "../configuration/rank.js";
import type { Timers } from "../time/timers.js";
import { DemandMeter } from "./demand-meter.js";
import type { DemandReports } from "./demand-reports.js";
import { DigestIndex, type RankDemands } from "./digest-index.js";
import { maxMin } from "./max-min.js";

/** Reports older than three heartbeats are stale and are ignored. */
const MAX_REPORT_AGE_MS = 3_500;
/**
 * Fair shares that lag behind a burst admit its first work as if it lay within them: the smallest
 * team beside one with excess demand gets 0.946 of its share with 200 ms and 0.967 with 50 ms.
 */
const REFRESH_INTERVAL_MS = 50;
/** Keeps the CPU cost per second constant when reports of hundreds of instances are read. */
const REFRESH_INTERVAL_PER_REPORT_MS = 2;
/**
 * Fraction of the capacity that fair shares add up to. At 1 the tiers before `Leftover` are fully
 * loaded, and the lowest rank of small teams waits too long to be admitted.
 */
const FAIR_CAPACITY_FRACTION = 0.85;
/** Fraction of the limit that is divided evenly, so that an instance without demand can start work. */
const EVEN_SHARE_FRACTION = 0.2;

/** The share of a service's concurrency limit that this instance may use. */
export class LimitShare {
  private share = 1;
  private fairFractionsByKey: ReadonlyMap<string, number> = new Map();
  private computedAt = Number.NEGATIVE_INFINITY;
  private refreshIntervalMs = REFRESH_INTERVAL_MS;

  private constructor(
    private readonly service: string,
    private readonly timers: Timers,
    private readonly meter: DemandMeter,
    private readonly reports: DemandReports,
  ) {}

  static create(
    service: string,
    parts: { timers: Timers; demandSource: DemandMeter; demandReports: DemandReports },
  ): LimitShare {
    return new LimitShare(service, parts.timers, parts.demandSource, parts.demandReports);
  }

  /** A share in (0, 1]; `capacity` is the service's total in slots. */
  shareOf(capacity: number): number {
    const now = this.timers.now();
    if (now - this.computedAt >= this.refreshIntervalMs) {
      this.computedAt = now;
      this.share = this.compute(capacity);
    }
    return this.share;
  }

  /** Fraction in [0, 1] of a team's work of a rank that lies within the team's fair share. */
  fairShare(rank: Rank, team: string): number {
    return this.fairFractionsByKey.get(DemandMeter.key(this.service, rank, team)) ?? 1;
  }

  private compute(capacity: number): number {
    const live = Math.max(1, this.reports.liveInstances());
    const others = this.reports.reports();
    this.refreshIntervalMs = Math.max(
      REFRESH_INTERVAL_MS,
      REFRESH_INTERVAL_PER_REPORT_MS * others.length,
    );
    const fresh = others.filter((report) => report.ageMs <= MAX_REPORT_AGE_MS);
    // If a digest is missing, the demand at that instance is unknown: divide the limit evenly.
    const own = DigestIndex.of(this.meter.digest()).demands(this.service);
    if (fresh.length < live - 1) {
      this.fairFractionsByKey = fairFractions(
        this.service,
        [own],
        (FAIR_CAPACITY_FRACTION * capacity * 1_000) / live,
      );
      return 1 / live;
    }
    const demands = [
      own,
      ...fresh.map(({ digest }) => DigestIndex.of(digest).demands(this.service)),
    ];
    this.fairFractionsByKey = fairFractions(
      this.service,
      demands,
      FAIR_CAPACITY_FRACTION * capacity * 1_000,
    );
    const needs = instanceNeeds(demands, capacity * 1_000);
    const total = needs.reduce((sum, need) => sum + need, 0);
    if (total <= 0) return 1 / live;
    return EVEN_SHARE_FRACTION / live + (1 - EVEN_SHARE_FRACTION) * ((needs[0] ?? 0) / total);
  }
}

/**
 * Work at each instance within the fair shares of its teams, in ms per second: capacity goes to ranks in order
 * and within a rank to teams by max-min fairness, so that excess demand of one
 * team at one instance does not attract the limit to it.
 */
function instanceNeeds(instances: readonly RankDemands[], capacity: number): number[] {
  const needs = instances.map(() => 0);
  let rest = capacity;
  for (const rank of ranksInOrder) {
    const byInstance = instances.map((demands) => demands.get(rank) ?? []);
    const totals = new Map<string, number>();
    for (const demands of byInstance) {
      for (const [team, demand] of demands) totals.set(team, (totals.get(team) ?? 0) + demand);
    }
    const shares = maxMin(totals, rest);
    for (const [at, demands] of byInstance.entries()) {
      for (const [team, demand] of demands) {
        const need = (demand / (totals.get(team) ?? demand)) * (shares.get(team) ?? 0);
        needs[at] = (needs[at] ?? 0) + need;
        rest -= need;
      }
    }
  }
  return needs;
}

/**
 * The fraction of each team's work that lies within its max-min fair share of the capacity, by digest
 * key. A team's share is used by its more important work first.
 */
function fairFractions(
  service: string,
  instances: readonly RankDemands[],
  capacity: number,
): ReadonlyMap<string, number> {
  const totals = new Map<string, number>();
  const byRank = ranksInOrder.map((rank) => {
    const demands = new Map<string, number>();
    for (const [team, demand] of instances.flatMap((one) => one.get(rank) ?? [])) {
      demands.set(team, (demands.get(team) ?? 0) + demand);
      totals.set(team, (totals.get(team) ?? 0) + demand);
    }
    return { rank, demands };
  });
  const left = new Map(maxMin(totals, capacity));
  const parts = new Map<string, number>();
  for (const { rank, demands } of byRank) {
    for (const [team, demand] of demands) {
      const used = Math.min(demand, left.get(team) ?? 0);
      left.set(team, (left.get(team) ?? 0) - used);
      parts.set(DemandMeter.key(service, rank, team), used / demand);
    }
  }
  return parts;
}
