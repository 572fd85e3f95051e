import { type Rank, ranksInOrder } from "../configuration/rank.js";
import type { Timers } from "../time/timers.js";
import { DemandMeter } from "./demand-meter.js";
import type { DemandReports } from "./demand-reports.js";
import { DigestIndex, type RankDemands } from "./digest-index.js";
import { maxMin } from "./max-min.js";

/** A report older than three heartbeats no longer says what an instance needs. */
const OLDEST_MS = 3_500;
/**
 * Fair shares that lag behind a flood let its first work in as if it lay within them: the smallest
 * team beside a greedy one gets 0.946 of its share with 200 ms and 0.967 with 50 ms.
 */
const REFRESH_MS = 50;
/** Keeps the work per second the same when reports of hundreds of instances are read. */
const REFRESH_PER_REPORT_MS = 2;
/**
 * Part of the capacity that fair shares add up to. With all of it the tiers before the leftovers
 * are fully loaded, and the lowest rank of small teams waits too long to be admitted.
 */
const SHARED_PART = 0.85;
/** Part of the limit that is shared evenly, so that an instance without demand can start work. */
const EVEN_PART = 0.2;

/** The part of a service's concurrency limit that this instance may use. */
export class LimitPart {
  private part = 1;
  private fairParts: ReadonlyMap<string, number> = new Map();
  private computed = Number.NEGATIVE_INFINITY;
  private refreshMs = REFRESH_MS;

  private constructor(
    private readonly service: string,
    private readonly timers: Timers,
    private readonly meter: DemandMeter,
    private readonly reports: DemandReports,
  ) {}

  static create(
    service: string,
    parts: { timers: Timers; demandSource: DemandMeter; demandReports: DemandReports },
  ): LimitPart {
    return new LimitPart(service, parts.timers, parts.demandSource, parts.demandReports);
  }

  /** A share in (0, 1]; `capacity` is the service's total in slots. */
  of(capacity: number): number {
    const now = this.timers.now();
    if (now - this.computed >= this.refreshMs) {
      this.computed = now;
      this.part = this.compute(capacity);
    }
    return this.part;
  }

  /** Part in [0, 1] of a team's work of a rank that lies within the team's fair share. */
  fairPart(rank: Rank, team: string): number {
    return this.fairParts.get(DemandMeter.key(this.service, rank, team)) ?? 1;
  }

  private compute(capacity: number): number {
    const live = Math.max(1, this.reports.liveInstances());
    const others = this.reports.reports();
    this.refreshMs = Math.max(REFRESH_MS, REFRESH_PER_REPORT_MS * others.length);
    const fresh = others.filter((report) => report.ageMs <= OLDEST_MS);
    // Without all digests nobody can tell how much the silent instances use.
    const own = DigestIndex.of(this.meter.digest()).demands(this.service);
    if (fresh.length < live - 1) {
      this.fairParts = fairParts(this.service, [own], (SHARED_PART * capacity * 1_000) / live);
      return 1 / live;
    }
    const demands = [
      own,
      ...fresh.map(({ digest }) => DigestIndex.of(digest).demands(this.service)),
    ];
    this.fairParts = fairParts(this.service, demands, SHARED_PART * capacity * 1_000);
    const needs = instanceNeeds(demands, capacity * 1_000);
    const total = needs.reduce((sum, need) => sum + need, 0);
    if (total <= 0) return 1 / live;
    return EVEN_PART / live + (1 - EVEN_PART) * ((needs[0] ?? 0) / total);
  }
}

/**
 * Work of each instance that its teams deserve, in ms per second: capacity goes to ranks in order
 * and within a rank to teams by max-min fairness, so that a flood of one team through one instance
 * does not draw the limit there.
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
 * The part of each team's work that lies within its max-min fair share of the capacity, by digest
 * key. A team's share is used by its more important work first.
 */
function fairParts(
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
