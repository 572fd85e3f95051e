import { type Rank, ranksInOrder } from "../configuration/rank.js";
import type { DemandDigest } from "./demand-digest.js";

/** Demands for one service by rank and team, in ms of service time per second. */
export type RankDemands = ReadonlyMap<Rank, readonly (readonly [string, number])[]>;

const noDemands: RankDemands = new Map();
/** Caches indexes, because each service reads a digest many times before the next one arrives. */
const indexesByDigest = new WeakMap<DemandDigest, DigestIndex>();

/** The team entries of a digest by service and rank. */
export class DigestIndex {
  private readonly services = new Map<string, Map<Rank, [string, number][]>>();

  private constructor(digest: DemandDigest) {
    for (const [key, demand] of Object.entries(digest.teams)) {
      const [service = "", name, ...rest] = key.split("|");
      const rank = ranksInOrder.find((known) => known.valueOf() === name);
      if (rank !== undefined && demand > 0) this.add(service, rank, rest.join("|"), demand);
    }
  }

  /** Returns the index of a digest, which is computed once. */
  static of(digest: DemandDigest): DigestIndex {
    let index = indexesByDigest.get(digest);
    if (index === undefined) indexesByDigest.set(digest, (index = new DigestIndex(digest)));
    return index;
  }

  demands(service: string): RankDemands {
    return this.services.get(service) ?? noDemands;
  }

  private add(service: string, rank: Rank, team: string, demand: number): void {
    const ranks = this.services.get(service) ?? new Map<Rank, [string, number][]>();
    this.services.set(service, ranks);
    const teams = ranks.get(rank);
    if (teams === undefined) ranks.set(rank, [[team, demand]]);
    else teams.push([team, demand]);
  }
}
