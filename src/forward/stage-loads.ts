import type { Timers } from "../time/timers.js";
import { shardOf } from "./stage-shard.js";
import { type StageWaits, waitOf } from "./stage-wait.js";
import type { UpstreamDirectory } from "./upstream-directory.js";

interface Noted {
  readonly waits: StageWaits;
  readonly atMs: number;
}

/** The waits at stage services, as the instances that fill the calls told them last. */
export class StageLoads {
  private readonly noted = new Map<string, Noted>();

  private constructor(
    private readonly timers: Timers,
    private readonly directory: UpstreamDirectory,
  ) {}

  static create(parts: { timers: Timers; directory: UpstreamDirectory }): StageLoads {
    return new StageLoads(parts.timers, parts.directory);
  }

  note(service: string, attemptId: string, waits: StageWaits): void {
    this.noted.set(this.key(service, attemptId), { waits, atMs: this.timers.now() });
  }

  /** The wait that pieces of a request probably have, in ms; a queue drains while nobody tells. */
  waitMs(service: string, attemptId: string, rank: number, resultBytes: number): number {
    const noted = this.noted.get(this.key(service, attemptId));
    if (noted === undefined) return 0;
    const ageMs = this.timers.now() - noted.atMs;
    return Math.max(0, waitOf(noted.waits, rank, resultBytes) - ageMs);
  }

  private key(service: string, attemptId: string): string {
    return `${service}/${shardOf(attemptId, this.directory.forService(service).length)}`;
  }
}
