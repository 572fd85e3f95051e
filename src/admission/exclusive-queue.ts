import TinyQueue from "tinyqueue";
import { ranksInOrder } from "../configuration/rank.js";
import type { WaitingWork } from "./waiting-work.js";

/** Work that must run alone on an upstream, ordered by rank, then by deadline. */
export class ExclusiveQueue {
  private readonly items = new TinyQueue<WaitingWork>(
    [],
    (a, b) => position(a) - position(b) || a.work.deadline - b.work.deadline,
  );

  private constructor() {
    // Instances come from `create`.
  }

  static create(): ExclusiveQueue {
    return new ExclusiveQueue();
  }

  push(item: WaitingWork): void {
    this.items.push(item);
  }

  /** The next item that was not abandoned. */
  peek(): WaitingWork | undefined {
    while (this.items.peek()?.abandoned === true) this.items.pop();
    return this.items.peek();
  }

  /** Removes the item that `peek` returned. */
  pop(): void {
    this.items.pop();
  }
}

function position({ work }: WaitingWork): number {
  return ranksInOrder.indexOf(work.rank);
}
