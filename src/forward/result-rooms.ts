import type { Timers } from "../time/timers.js";
import { ResultRoom } from "./result-room.js";

/** The memory for results of each upstream of a stage service. */
export class ResultRooms {
  private readonly byUpstream = new Map<string, ResultRoom>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): ResultRooms {
    return new ResultRooms(timers);
  }

  of(id: string): ResultRoom {
    let room = this.byUpstream.get(id);
    if (room === undefined) {
      room = ResultRoom.create(this.timers);
      this.byUpstream.set(id, room);
    }
    return room;
  }

  release(handle: string): void {
    for (const room of this.byUpstream.values()) room.release(handle);
  }
}
