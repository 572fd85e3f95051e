import TinyQueue from "tinyqueue";
import { ranksInOrder } from "../configuration/rank.js";
import { Tier } from "./tier.js";
import type { Work } from "./work.js";

const priorityLevels = [Tier.Target, Tier.FairShare, Tier.Leftover].flatMap(() => ranksInOrder);

interface Entry {
  readonly key: string;
  readonly tier: Tier;
  /** Index in the order of tiers and, within a tier, of ranks; lower values start first. */
  readonly priority: number;
  readonly team: string;
  readonly costMs: number;
  readonly deadline: number;
  removed: boolean;
}

/**
 * Admitted work that has not started at this service, including work of requests that are still in
 * earlier stages.
 */
export class Backlog {
  private readonly entries = new Map<string, Entry>();
  private readonly byDeadline = new TinyQueue<Entry>([], (a, b) => a.deadline - b.deadline);
  private readonly costsByTeam = priorityLevels.map(() => new Map<string, number>());
  private readonly totalCosts = priorityLevels.map(() => 0);

  private constructor() {
    // Instances come from `create`.
  }

  static create(): Backlog {
    return new Backlog();
  }

  /** Counts work until it starts or its deadline passes; has no effect if it is already counted. */
  add(work: Work, tier: Tier, costMs: number): void {
    const key = keyOf(work);
    if (this.entries.has(key)) return;
    const { team, deadline } = work;
    const priority = priorityOf(work, tier);
    const entry = { key, tier, priority, team, costMs, deadline, removed: false };
    this.entries.set(key, entry);
    this.byDeadline.push(entry);
    this.addCost(entry, costMs);
  }

  get size(): number {
    return this.entries.size;
  }

  /** The tier with which work was admitted; undefined if it is not waiting. */
  tierOf(work: Work): Tier | undefined {
    return this.entries.get(keyOf(work))?.tier;
  }

  remove(work: Work): void {
    const entry = this.entries.get(keyOf(work));
    if (entry !== undefined) this.removeEntry(entry);
  }

  /** Removes the work whose deadline has passed at time `now`. */
  expire(now: number): void {
    for (
      let next = this.byDeadline.peek();
      next !== undefined && (next.removed || next.deadline <= now);
      next = this.byDeadline.peek()
    ) {
      this.byDeadline.pop();
      if (!next.removed) this.removeEntry(next);
    }
  }

  /** Total service time in ms of the work in earlier tiers and, within `tier`, in higher ranks. */
  workAheadMs(work: Work, tier: Tier): number {
    return this.totalCosts.slice(0, priorityOf(work, tier)).reduce((sum, total) => sum + total, 0);
  }

  /**
   * Service time in ms of the work of the same tier and rank that fair queueing starts before new
   * work of the team.
   */
  fairWorkBeforeMs(work: Work, tier: Tier, costMs: number): number {
    const teams = this.costsByTeam[priorityOf(work, tier)] ?? new Map<string, number>();
    const ownMs = teams.get(work.team) ?? 0;
    let sum = ownMs;
    for (const [team, teamMs] of teams) {
      if (team !== work.team) sum += Math.min(teamMs, ownMs + costMs);
    }
    return sum;
  }

  private removeEntry(entry: Entry): void {
    entry.removed = true;
    this.entries.delete(entry.key);
    this.addCost(entry, -entry.costMs);
  }

  private addCost(entry: Entry, costMs: number): void {
    this.totalCosts[entry.priority] = Math.max(0, (this.totalCosts[entry.priority] ?? 0) + costMs);
    const teams = this.costsByTeam[entry.priority];
    if (teams === undefined) return;
    const sum = (teams.get(entry.team) ?? 0) + costMs;
    if (sum < 1e-6) teams.delete(entry.team);
    else teams.set(entry.team, sum);
  }
}

function priorityOf(work: Work, tier: Tier): number {
  return tier * ranksInOrder.length + ranksInOrder.indexOf(work.rank);
}

function keyOf(work: Work): string {
  return `${work.request}/${work.stage}`;
}
