import type { RandomSource } from "../random/random-source.js";
import type { PeerSettings } from "./peer-settings.js";
import type { Timers } from "../time/timers.js";
import { probeAnswerSchema } from "./heartbeat.js";
import type { Heartbeats } from "./heartbeats.js";
import type { MemberEntry } from "./member-entry.js";
import { MemberState } from "./member-state.js";
import type { MemberTable } from "./member-table.js";
import type { PeerCalls } from "./peer-calls.js";
import { PeerMethod } from "./peer-method.js";

/** Members that are asked to probe a suspect member. */
const INDIRECT_PROBE_COUNT = 2;

/** Dependencies of the monitor of one peer. */
export interface MonitorParts {
  readonly settings: PeerSettings;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly peerCalls: PeerCalls;
  readonly memberTable: MemberTable;
  readonly heartbeats: Heartbeats;
}

/** Failure detector of one peer: exchanges heartbeats with it and measures its silence. */
export class PeerMonitor {
  private readonly abortController = new AbortController();

  private constructor(
    private readonly parts: MonitorParts,
    private readonly peer: string,
    private readonly onDeath: (entry: MemberEntry) => void,
  ) {}

  /** `onDeath` is called when the peer has been silent for `bounds.deathMs`. */
  static create(
    parts: MonitorParts,
    peer: string,
    onDeath: (entry: MemberEntry) => void,
  ): PeerMonitor {
    return new PeerMonitor(parts, peer, onDeath);
  }

  stop(): void {
    this.abortController.abort();
  }

  /** Resolves when the monitor is stopped or the peer is dead. */
  async run(): Promise<void> {
    const { timers, settings, random } = this.parts;
    const { heartbeatMs } = settings.bounds;
    let nextMs = timers.now() + random.fraction() * heartbeatMs;
    while (await this.sleep(nextMs - timers.now())) {
      nextMs = Math.max(nextMs, timers.now()) + heartbeatMs;
      await this.sendHeartbeat();
      if (this.abortController.signal.aborted) return;
      if (await this.detectDeath()) return;
    }
  }

  private async sendHeartbeat(): Promise<void> {
    try {
      await this.parts.heartbeats.exchange(this.peer);
    } catch {
      // A peer is suspected by the time of its silence, not by the number of failed heartbeats.
    }
  }

  private async detectDeath(): Promise<boolean> {
    const { memberTable, settings } = this.parts;
    const { suspicionMs, deathMs } = settings.bounds;
    if (memberTable.record(this.peer)?.entry.state === MemberState.Dead) return true;
    if (this.silentMs() < suspicionMs) return false;
    memberTable.markSuspect(this.peer);
    await this.probeIndirectly();
    if (this.silentMs() < deathMs || this.abortController.signal.aborted) return false;
    const entry = memberTable.declareDead(this.peer);
    if (entry !== undefined) this.onDeath(entry);
    return true;
  }

  private async probeIndirectly(): Promise<void> {
    const { memberTable, random } = this.parts;
    const others = memberTable
      .all()
      .filter(({ id, state }) => id !== this.peer && state === MemberState.Alive);
    const asked = random.sample(others, INDIRECT_PROBE_COUNT);
    await Promise.all(asked.map(({ id }) => this.probeThrough(id)));
  }

  private async probeThrough(other: string): Promise<void> {
    const { peerCalls, memberTable, settings } = this.parts;
    const params = { target: this.peer };
    const { heartbeatMs } = settings.bounds;
    try {
      const result = await peerCalls.call(other, PeerMethod.Probe, params, heartbeatMs);
      const { entry } = probeAnswerSchema.parse(result);
      if (entry.id === this.peer) memberTable.merge(entry, true);
    } catch {
      // Without an answer there is no evidence that the peer is alive.
    }
  }

  private silentMs(): number {
    const { memberTable, timers } = this.parts;
    return timers.now() - (memberTable.record(this.peer)?.lastHeardMs ?? -Infinity);
  }

  /** Returns false if the monitor was stopped. */
  private async sleep(ms: number): Promise<boolean> {
    try {
      await this.parts.timers.sleep(ms, this.abortController.signal);
      return true;
    } catch {
      return false;
    }
  }
}
