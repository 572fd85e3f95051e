import type { DemandDigest } from "../admission/demand-digest.js";
import type { DemandReport, DemandReports } from "../admission/demand-reports.js";
import type { Timers } from "../time/timers.js";
import { MemberState } from "./member-state.js";
import type { MemberTable } from "./member-table.js";
import type { PeerVersions, VersionReport } from "./peer-versions.js";

interface ReceivedReport {
  readonly atMs: number;
  readonly version: number;
  readonly demand: DemandDigest | undefined;
}

interface Parts {
  readonly timers: Timers;
  readonly memberTable: MemberTable;
}

/** The last configuration version and demand that each live instance reported by heartbeat. */
export class HeartbeatReports implements DemandReports, PeerVersions {
  private readonly received = new Map<string, ReceivedReport>();
  private readonly versionHandlers: ((instance: string, version: number) => void)[] = [];

  private constructor(private readonly parts: Parts) {
    parts.memberTable.subscribe(({ id, state }) => {
      if (state === MemberState.Dead) this.received.delete(id);
    });
  }

  static create(parts: Parts): HeartbeatReports {
    return new HeartbeatReports(parts);
  }

  recordHeartbeat(instance: string, version: number, demand: DemandDigest | undefined): void {
    // Reports of instances that are not in the member table would never be removed.
    if (this.parts.memberTable.record(instance) === undefined) return;
    const known = this.received.get(instance);
    const atMs = this.parts.timers.now();
    this.received.set(instance, { atMs, version, demand: demand ?? known?.demand });
    for (const handler of this.versionHandlers) handler(instance, version);
  }

  /** Calls `handler` with the configuration version in each heartbeat. */
  onVersion(handler: (instance: string, version: number) => void): void {
    this.versionHandlers.push(handler);
  }

  reports(): readonly DemandReport[] {
    const now = this.parts.timers.now();
    return [...this.received].flatMap(([instance, { atMs, demand }]) =>
      demand === undefined ? [] : [{ instance, ageMs: now - atMs, digest: demand }],
    );
  }

  versions(): readonly VersionReport[] {
    const now = this.parts.timers.now();
    return [...this.received].map(([instance, { atMs, version }]) => ({
      instance,
      version,
      ageMs: now - atMs,
    }));
  }

  liveInstances(): number {
    // A leaving instance has finished its requests and needs no share of a limit.
    const serving = [MemberState.Alive, MemberState.Suspect];
    return this.parts.memberTable.all().filter(({ state }) => serving.includes(state)).length + 1;
  }
}
