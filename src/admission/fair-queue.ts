import TinyQueue from "tinyqueue";
import type { WaitingWork } from "./waiting-work.js";

interface TeamQueue {
  readonly team: string;
  readonly items: TinyQueue<WaitingWork>;
  /** Virtual start time of the team's next item. */
  startTime: number;
}

/**
 * Start-time fair queueing between teams by estimated service time; the items of a team are ordered
 * by deadline.
 */
export class FairQueue {
  private readonly teams = new Map<string, TeamQueue>();
  private readonly queuesByStartTime = new TinyQueue<TeamQueue>(
    [],
    (a, b) => a.startTime - b.startTime,
  );
  private readonly finishTimes = new Map<string, number>();
  private virtualTime = 0;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): FairQueue {
    return new FairQueue();
  }

  get empty(): boolean {
    return this.queuesByStartTime.length === 0;
  }

  push(item: WaitingWork): void {
    const { team } = item.work;
    let queue = this.teams.get(team);
    if (queue === undefined) {
      const items = new TinyQueue<WaitingWork>([], (a, b) => a.work.deadline - b.work.deadline);
      queue = {
        team,
        items,
        startTime: Math.max(this.virtualTime, this.finishTimes.get(team) ?? 0),
      };
      this.teams.set(team, queue);
      this.queuesByStartTime.push(queue);
    }
    queue.items.push(item);
  }

  /** Removes and returns the next item; drops abandoned items without charging their team. */
  pop(): WaitingWork | undefined {
    for (;;) {
      const queue = this.queuesByStartTime.pop();
      if (queue === undefined) return undefined;
      let item = queue.items.pop();
      while (item?.abandoned === true) item = queue.items.pop();
      if (item !== undefined) {
        this.virtualTime = queue.startTime;
        queue.startTime += item.costMs;
      }
      if (queue.items.length > 0) this.queuesByStartTime.push(queue);
      else this.removeTeam(queue);
      if (item !== undefined) return item;
    }
  }

  private removeTeam(queue: TeamQueue): void {
    this.teams.delete(queue.team);
    this.finishTimes.set(queue.team, queue.startTime);
    if (this.teams.size > 0) return;
    // Finish times that virtual time has reached no longer affect the order.
    for (const [team, finish] of this.finishTimes) {
      if (finish <= this.virtualTime) this.finishTimes.delete(team);
    }
  }
}
