import TinyQueue from "tinyqueue";
import type { WaitingWork } from "./waiting-work.js";

interface TeamQueue {
  readonly team: string;
  readonly items: TinyQueue<WaitingWork>;
  /** Virtual time at which the head of the team may start. */
  start: number;
}

/** Start-time fair queueing between teams by estimated work, by deadline within a team. */
export class FairQueue {
  private readonly teams = new Map<string, TeamQueue>();
  private readonly active = new TinyQueue<TeamQueue>([], (a, b) => a.start - b.start);
  private readonly finished = new Map<string, number>();
  private virtualTime = 0;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): FairQueue {
    return new FairQueue();
  }

  get empty(): boolean {
    return this.active.length === 0;
  }

  push(item: WaitingWork): void {
    const { team } = item.work;
    let queue = this.teams.get(team);
    if (queue === undefined) {
      const items = new TinyQueue<WaitingWork>([], (a, b) => a.work.deadline - b.work.deadline);
      queue = { team, items, start: Math.max(this.virtualTime, this.finished.get(team) ?? 0) };
      this.teams.set(team, queue);
      this.active.push(queue);
    }
    queue.items.push(item);
  }

  /** Takes the next live item; abandoned ones are dropped without being charged to their team. */
  pop(): WaitingWork | undefined {
    for (;;) {
      const queue = this.active.pop();
      if (queue === undefined) return undefined;
      let item = queue.items.pop();
      while (item?.abandoned === true) item = queue.items.pop();
      if (item !== undefined) {
        this.virtualTime = queue.start;
        queue.start += item.costMs;
      }
      if (queue.items.length > 0) this.active.push(queue);
      else this.retire(queue);
      if (item !== undefined) return item;
    }
  }

  private retire(queue: TeamQueue): void {
    this.teams.delete(queue.team);
    this.finished.set(queue.team, queue.start);
    if (this.teams.size > 0) return;
    // Once the queue is idle, teams without excess service need no record.
    for (const [team, finish] of this.finished) {
      if (finish <= this.virtualTime) this.finished.delete(team);
    }
  }
}
