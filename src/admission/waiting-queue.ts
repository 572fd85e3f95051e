import type { Configuration } from "../configuration/configuration.js";
import { ranksInOrder } from "../configuration/rank.js";
import { ClassQueue } from "./class-queue.js";
import type { FairQueue } from "./fair-queue.js";
import { ShareCredits } from "./share-credits.js";
import { Tier } from "./tier.js";
import type { WaitingWork } from "./waiting-work.js";
import type { Work } from "./work.js";

const tiersInOrder = [Tier.Target, Tier.FairShare, Tier.Leftover];

/**
 * The waiting work of one service. Classes below their guaranteed share come first, then work is
 * ordered by tier, rank, team and deadline.
 */
export class WaitingQueue {
  private classes: ClassQueue[] = [];
  private readonly classCredits = ShareCredits.create();
  private readonly teamCredits = ShareCredits.create();

  private constructor(private readonly configuration: () => Configuration | undefined) {}

  static create(configuration: () => Configuration | undefined): WaitingQueue {
    return new WaitingQueue(configuration);
  }

  /**
   * Records work as demand, whether or not it is admitted, and returns its tier. `fairFraction` is
   * the fraction of the team's work of this rank that lies within the team's fair share.
   */
  offer(work: Work, costMs: number, fairFraction: number, now: number): Tier {
    const classQueue = this.classQueueOf(work, now);
    this.classCredits.offer(work.className, this.targetShareWithMargin(classQueue));
    this.teamCredits.offer(teamKey(work), fairFraction);
    // Divided by shares and not by the returned tier: refused work leaves its credit to later work.
    const targetShare = this.targetShareWithMargin(classQueue);
    classQueue.recordOffered(Tier.Target, costMs * fairFraction * targetShare, now);
    classQueue.recordOffered(Tier.FairShare, costMs * fairFraction * (1 - targetShare), now);
    classQueue.recordOffered(Tier.Leftover, costMs * (1 - fairFraction), now);
    return this.nextTier(work);
  }

  /** The tier that the next work of the class and team gets. */
  nextTier(work: Work): Tier {
    if (!this.teamCredits.has(teamKey(work))) return Tier.Leftover;
    return this.classCredits.has(work.className) ? Tier.Target : Tier.FairShare;
  }

  /** Charges admitted work to the credits of its class and team. */
  takeCredits(work: Work): void {
    this.classCredits.take(work.className);
    this.teamCredits.take(teamKey(work));
  }

  push(item: WaitingWork, now: number): void {
    this.classQueueOf(item.work, now).queues[item.tier]?.push(item);
  }

  /** Counts started work towards the guaranteed share of its class. */
  recordStarted(work: Work, costMs: number, now: number): void {
    this.classQueueOf(work, now).recordStarted(costMs, now);
  }

  /** Removes and returns the next work to start. */
  pop(now: number): WaitingWork | undefined {
    for (const queue of this.queuesInOrder(now)) {
      const item = queue.pop();
      if (item !== undefined) return item;
    }
    return undefined;
  }

  /** Share of the capacity that the work's class is guaranteed under overload. */
  guaranteedShareOf(work: Work, now: number): number {
    return this.guaranteedShare(this.classQueueOf(work, now));
  }

  /** Fraction of the capacity that other offered work leaves to a tier of the work's rank. */
  availableFraction(work: Work, tier: Tier, capacity: number, now: number): number {
    const ownRank = ranksInOrder.indexOf(work.rank);
    let taken = 0;
    for (const classQueue of this.classes) {
      const rank = ranksInOrder.indexOf(classQueue.rank);
      let rateBefore = 0;
      let rateAfter = 0;
      for (const other of tiersInOrder) {
        const rate = classQueue.offeredRate(other, now) / capacity;
        if (other < tier || (other === tier && rank < ownRank)) rateBefore += rate;
        else if (rank !== ownRank) rateAfter += rate;
      }
      taken +=
        rateBefore +
        Math.min(rateAfter, Math.max(0, this.guaranteedShare(classQueue) - rateBefore));
    }
    return Math.max(this.guaranteedShare(this.classQueueOf(work, now)), 1 - taken);
  }

  private queuesInOrder(now: number): FairQueue[] {
    const waiting = this.classes.filter((classQueue) => !classQueue.empty);
    const total = this.classes.reduce(
      (sum, classQueue) => sum + classQueue.recentlyStartedMs(now),
      0,
    );
    const starved = waiting.filter(
      (classQueue) => classQueue.recentlyStartedMs(now) < this.guaranteedShare(classQueue) * total,
    );
    return [
      ...starved.flatMap((classQueue) => classQueue.queues),
      ...tiersInOrder.flatMap((tier) =>
        waiting.flatMap((classQueue) => classQueue.queues[tier] ?? []),
      ),
    ];
  }

  private classQueueOf(work: Work, now: number): ClassQueue {
    let classQueue = this.classes.find((known) => known.name === work.className);
    if (classQueue === undefined) {
      classQueue = ClassQueue.create(work.className, work.rank, now);
      this.classes = [...this.classes, classQueue].sort(
        (a, b) => ranksInOrder.indexOf(a.rank) - ranksInOrder.indexOf(b.rank),
      );
    }
    return classQueue;
  }

  private guaranteedShare(classQueue: ClassQueue): number {
    return this.configuration()?.floor(classQueue.rank) ?? 0;
  }

  /** Midway from the target share to 1; without a margin the target is missed half the time. */
  private targetShareWithMargin(classQueue: ClassQueue): number {
    return (1 + (this.configuration()?.workClass(classQueue.name)?.target.share ?? 1)) / 2;
  }
}

function teamKey(work: Work): string {
  return `${work.rank}|${work.team}`;
}
