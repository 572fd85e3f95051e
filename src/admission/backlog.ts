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
  done: boolean;
}

/** Work that was admitted and has not started at this service, earlier stages included. */
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

  /** Adds work until it starts or its deadline passes; work that is known is not added again. */
  add(work: Work, tier: Tier, costMs: number): void {
    const key = keyOf(work);
    if (this.entries.has(key)) return;
    const { team, deadline } = work;
    const position = positionOf(work, tier);
    const entry = { key, tier, position, team, costMs, deadline, done: false };
    this.entries.set(key, entry);
    this.byDeadline.push(entry);
    this.change(entry, costMs);
  }

  /** Number of works that have not started. */
  get size(): number {
    return this.entries.size;
  }

  /** The tier with which work was admitted; undefined if it is not waiting. */
  tier(work: Work): Tier | undefined {
    return this.entries.get(keyOf(work))?.tier;
  }

  remove(work: Work): void {
    const entry = this.entries.get(keyOf(work));
    if (entry !== undefined) this.drop(entry);
  }

  /** Drops work whose deadline has passed. */
  expire(now: number): void {
    for (
      let next = this.byDeadline.peek();
      next !== undefined && (next.done || next.deadline <= now);
      next = this.byDeadline.peek()
    ) {
      this.byDeadline.pop();
      if (!next.done) this.drop(next);
    }
  }

  /** Work of earlier tiers and more important ranks, in ms of service. */
  ahead(work: Work, tier: Tier): number {
    return this.totals.slice(0, positionOf(work, tier)).reduce((sum, total) => sum + total, 0);
  }

  /** Work of the same tier and rank that a fair order serves before new work of the team, in ms. */
  before(work: Work, tier: Tier, costMs: number): number {
    const teams = this.teams[positionOf(work, tier)] ?? new Map<string, number>();
    const own = teams.get(work.team) ?? 0;
    let sum = own;
    for (const [team, backlog] of teams) {
      if (team !== work.team) sum += Math.min(backlog, own + costMs);
    }
    return sum;
  }

  private drop(entry: Entry): void {
    entry.done = true;
    this.entries.delete(entry.key);
    this.change(entry, -entry.costMs);
  }

  private change(entry: Entry, costMs: number): void {
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
