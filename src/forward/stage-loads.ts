import type { ReportedWait } from "../congestion/reported-waits.js";
import type { Timers } from "../time/timers.js";
import { shardOf } from "./stage-shard.js";
import { type StageWaits, waitMsForRank } from "./stage-wait.js";
import type { UpstreamDirectory } from "./upstream-directory.js";

interface WaitReport {
  readonly waits: StageWaits;
  readonly receivedAtMs: number;
}

/** Cache of the last waits at stage services that their owners reported. */
export class StageLoads {
  private readonly waitReports = new Map<string, WaitReport>();

  private constructor(
    private readonly timers: Timers,
    private readonly directory: UpstreamDirectory,
  ) {}

  static create(parts: { timers: Timers; directory: UpstreamDirectory }): StageLoads {
    return new StageLoads(parts.timers, parts.directory);
  }

  record(service: string, attemptId: string, waits: StageWaits): void {
    this.waitReports.set(this.key(service, attemptId), { waits, receivedAtMs: this.timers.now() });
  }

  /** Estimated wait of the pieces of a request in ms; assumes that queues drain between reports. */
  waitMs(service: string, attemptId: string, rank: number, resultBytes: number): number {
    const reported = this.reported(service, attemptId, rank, resultBytes);
    return reported === undefined ? 0 : Math.max(0, reported.ms - reported.ageMs);
  }

  /** The last reported wait of the pieces of a request. */
  reported(
    service: string,
    attemptId: string,
    rank: number,
    resultBytes: number,
  ): ReportedWait | undefined {
    const report = this.waitReports.get(this.key(service, attemptId));
    if (report === undefined) return undefined;
    const ms = waitMsForRank(report.waits, rank, resultBytes);
    return { ms, ageMs: this.timers.now() - report.receivedAtMs };
  }

  private key(service: string, attemptId: string): string {
    return `${service}/${shardOf(attemptId, this.directory.forService(service).length)}`;
  }
}
