import type { DropReason } from "./drop-reason.js";

/** Counts the answers of upstreams that were not used, by reason. */
export class DroppedAnswers {
  private readonly counts = new Map<DropReason, number>();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): DroppedAnswers {
    return new DroppedAnswers();
  }

  add(reason: DropReason): void {
    this.counts.set(reason, this.count(reason) + 1);
  }

  count(reason: DropReason): number {
    return this.counts.get(reason) ?? 0;
  }
}
