import type { Timers } from "../time/timers.js";
import { ResultMemory } from "./result-memory.js";

/** The result memory of each upstream of a stage service. */
export class UpstreamResultMemory {
  private readonly byUpstream = new Map<string, ResultMemory>();

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): UpstreamResultMemory {
    return new UpstreamResultMemory(timers);
  }

  of(id: string): ResultMemory {
    let room = this.byUpstream.get(id);
    if (room === undefined) {
      room = ResultMemory.create(this.timers);
      this.byUpstream.set(id, room);
    }
    return room;
  }

  release(handle: string): void {
    for (const room of this.byUpstream.values()) room.release(handle);
  }
}
