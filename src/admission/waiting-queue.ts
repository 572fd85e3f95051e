import type { Configuration } from "../configuration/configuration.js";
import { ranksInOrder } from "../configuration/rank.js";
import { ClassShare } from "./class-share.js";
import type { FairQueue } from "./fair-queue.js";
import { ShareCredits } from "./share-credits.js";
import { Tier } from "./tier.js";
import type { WaitingWork } from "./waiting-work.js";
import type { Work } from "./work.js";

const tiersInOrder = [Tier.Target, Tier.FairShare, Tier.Leftover];

/** The waiting work of one service, ordered by floor, tier, rank, team and deadline. */
export class WaitingQueue {
  private classes: ClassShare[] = [];
  private readonly classCredits = ShareCredits.create();
  private readonly teamCredits = ShareCredits.create();

  private constructor(private readonly configuration: () => Configuration | undefined) {}

  static create(configuration: () => Configuration | undefined): WaitingQueue {
    return new WaitingQueue(configuration);
  }

  /**
   * Records that a caller asked for work, whether or not it is admitted, and returns its tier.
   * `fairPart` is the part of such work that lies within the team's fair share.
   */
  offer(work: Work, costMs: number, fairPart: number, now: number): Tier {
    const share = this.of(work, now);
    this.classCredits.offer(work.className, this.aimedShare(share));
    this.teamCredits.offer(teamKey(work), fairPart);
    // The shares count, not the tier: refused work leaves its credit to the next work.
    const aimed = this.aimedShare(share);
    share.offer(Tier.Target, costMs * fairPart * aimed, now);
    share.offer(Tier.FairShare, costMs * fairPart * (1 - aimed), now);
    share.offer(Tier.Leftover, costMs * (1 - fairPart), now);
    return this.tier(work);
  }

  /** The tier that new work would get. */
  tier(work: Work): Tier {
    if (!this.teamCredits.has(teamKey(work))) return Tier.Leftover;
    return this.classCredits.has(work.className) ? Tier.Target : Tier.FairShare;
  }

  /** Counts admitted work against the shares of its class and team. */
  admit(work: Work): void {
    this.classCredits.take(work.className);
    this.teamCredits.take(teamKey(work));
  }

  push(item: WaitingWork, now: number): void {
    this.of(item.work, now).queues[item.tier]?.push(item);
  }

  /** Records work that starts. */
  serve(work: Work, costMs: number, now: number): void {
    this.of(work, now).serve(costMs, now);
  }

  /** Takes the next work to start. */
  pop(now: number): WaitingWork | undefined {
    for (const queue of this.queuesInOrder(now)) {
      const item = queue.pop();
      if (item !== undefined) return item;
    }
    return undefined;
  }

  /** Share of work that is guaranteed to the work's class under overload. */
  floorOf(work: Work, now: number): number {
    return this.floor(this.of(work, now));
  }

  /** Fraction of the capacity that is left for a tier of a rank, given the other offered work. */
  availableFraction(work: Work, tier: Tier, capacity: number, now: number): number {
    const own = ranksInOrder.indexOf(work.rank);
    let taken = 0;
    for (const share of this.classes) {
      const rank = ranksInOrder.indexOf(share.rank);
      let first = 0;
      let after = 0;
      for (const other of tiersInOrder) {
        const rate = share.offeredRate(other, now) / capacity;
        if (other < tier || (other === tier && rank < own)) first += rate;
        else if (rank !== own) after += rate;
      }
      taken += first + Math.min(after, Math.max(0, this.floor(share) - first));
    }
    return Math.max(this.floor(this.of(work, now)), 1 - taken);
  }

  private queuesInOrder(now: number): FairQueue[] {
    const waiting = this.classes.filter((share) => !share.empty);
    const total = this.classes.reduce((sum, share) => sum + share.served(now), 0);
    const starved = waiting.filter((share) => share.served(now) < this.floor(share) * total);
    return [
      ...starved.flatMap((share) => share.queues),
      ...tiersInOrder.flatMap((tier) => waiting.flatMap((share) => share.queues[tier] ?? [])),
    ];
  }

  private of(work: Work, now: number): ClassShare {
    let share = this.classes.find((known) => known.name === work.className);
    if (share === undefined) {
      share = ClassShare.create(work.className, work.rank, now);
      this.classes = [...this.classes, share].sort(
        (a, b) => ranksInOrder.indexOf(a.rank) - ranksInOrder.indexOf(b.rank),
      );
    }
    return share;
  }

  private floor(share: ClassShare): number {
    return this.configuration()?.floor(share.rank) ?? 0;
  }

  /** Midway from the target share to 1: aiming at the target itself misses it half the time. */
  private aimedShare(share: ClassShare): number {
    return (1 + (this.configuration()?.workClass(share.name)?.target.share ?? 1)) / 2;
  }
}

function teamKey(work: Work): string {
  return `${work.rank}|${work.team}`;
}
