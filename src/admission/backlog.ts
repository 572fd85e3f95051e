import TinyQueue from "tinyqueue";
import { ranksInOrder } from "../configuration/rank.js";
import { Tier } from "./tier.js";
import type { Work } from "./work.js";

const positions = [Tier.Target, Tier.FairShare, Tier.Leftover].flatMap(() => ranksInOrder);

interface Entry {
  readonly key: string;
  readonly tier: Tier;
  /** Position in the order of tiers and ranks. */
  readonly position: number;
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
  private readonly teams = positions.map(() => new Map<string, number>());
  private readonly totals = positions.map(() => 0);

  private constructor() {
    // Instances come from `create`.
  }

  static create(): Backlog {
    return new Backlog();
  }

  /** Adds work until it starts or its deadline passes; does nothing if the work is already there. */
  add(work: Work, tier: Tier, costMs: number): void {
    const key = keyOf(work);
    if (this.entries.has(key)) return;
    const { team, deadline } = work;
    const position = positionOf(work, tier);
    const entry = { key, tier, position, team, costMs, deadline, removed: false };
    this.entries.set(key, entry);
    this.byDeadline.push(entry);
    this.addCost(entry, costMs);
  }

  /** Number of entries. */
  get size(): number {
    return this.entries.size;
  }

  /** The tier with which work was admitted; undefined if it is not waiting. */
  tier(work: Work): Tier | undefined {
    return this.entries.get(keyOf(work))?.tier;
  }

  remove(work: Work): void {
    const entry = this.entries.get(keyOf(work));
    if (entry !== undefined) this.removeEntry(entry);
  }

  /** Removes work whose deadline has passed. */
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

  /** Service time of the work in earlier tiers and, within the tier, in higher ranks, in ms. */
  workAheadMs(work: Work, tier: Tier): number {
    return this.totals.slice(0, positionOf(work, tier)).reduce((sum, total) => sum + total, 0);
  }

  /**
   * Service time of the work of the same tier and rank that fair queueing serves before new work of
   * the team, in ms.
   */
  fairWorkBeforeMs(work: Work, tier: Tier, costMs: number): number {
    const teams = this.teams[positionOf(work, tier)] ?? new Map<string, number>();
    const own = teams.get(work.team) ?? 0;
    let sum = own;
    for (const [team, backlog] of teams) {
      if (team !== work.team) sum += Math.min(backlog, own + costMs);
    }
    return sum;
  }

  private removeEntry(entry: Entry): void {
    entry.removed = true;
    this.entries.delete(entry.key);
    this.addCost(entry, -entry.costMs);
  }

  private addCost(entry: Entry, costMs: number): void {
    this.totals[entry.position] = Math.max(0, (this.totals[entry.position] ?? 0) + costMs);
    const teams = this.teams[entry.position];
    if (teams === undefined) return;
    const sum = (teams.get(entry.team) ?? 0) + costMs;
    if (sum < 1e-6) teams.delete(entry.team);
    else teams.set(entry.team, sum);
  }
}

function positionOf(work: Work, tier: Tier): number {
  return tier * ranksInOrder.length + ranksInOrder.indexOf(work.rank);
}

function keyOf(work: Work): string {
  return `${work.request}/${work.stage}`;
}
