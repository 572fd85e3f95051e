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
    let memory = this.byUpstream.get(id);
    if (memory === undefined) {
      memory = ResultMemory.create(this.timers);
      this.byUpstream.set(id, memory);
    }
    return memory;
  }

  release(handle: string): void {
    for (const memory of this.byUpstream.values()) memory.release(handle);
  }
}
