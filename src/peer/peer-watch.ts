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

/** Members that are asked to probe a suspect. */
const INDIRECT_PROBES = 2;

/** What the watch of one peer needs. */
export interface WatchParts {
  readonly settings: PeerSettings;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly peerCalls: PeerCalls;
  readonly memberTable: MemberTable;
  readonly heartbeats: Heartbeats;
}

/** The task that exchanges heartbeats with one peer and judges its silence. */
export class PeerWatch {
  private readonly ended = new AbortController();

  private constructor(
    private readonly parts: WatchParts,
    private readonly peer: string,
    private readonly died: (entry: MemberEntry) => void,
  ) {}

  /** `died` is called when the peer was silent for `bounds.deathMs`. */
  static create(parts: WatchParts, peer: string, died: (entry: MemberEntry) => void): PeerWatch {
    return new PeerWatch(parts, peer, died);
  }

  end(): void {
    this.ended.abort();
  }

  /** Resolves when the watch was ended or the peer is dead. */
  async run(): Promise<void> {
    const { timers, settings, random } = this.parts;
    const { heartbeatMs } = settings.bounds;
    let next = timers.now() + random.fraction() * heartbeatMs;
    while (await this.slept(next - timers.now())) {
      next = Math.max(next, timers.now()) + heartbeatMs;
      await this.beat();
      if (this.ended.signal.aborted) return;
      if (await this.isDead()) return;
    }
  }

  private async beat(): Promise<void> {
    try {
      await this.parts.heartbeats.exchange(this.peer);
    } catch {
      // The silence of the peer is judged by time, not by the number of failures.
    }
  }

  private async isDead(): Promise<boolean> {
    const { memberTable, settings } = this.parts;
    const { suspicionMs, deathMs } = settings.bounds;
    if (memberTable.record(this.peer)?.entry.state === MemberState.Dead) return true;
    if (this.silentMs() < suspicionMs) return false;
    memberTable.suspect(this.peer);
    await this.probeThroughOthers();
    if (this.silentMs() < deathMs || this.ended.signal.aborted) return false;
    const entry = memberTable.bury(this.peer);
    if (entry !== undefined) this.died(entry);
    return true;
  }

  private async probeThroughOthers(): Promise<void> {
    const { memberTable, random } = this.parts;
    const others = memberTable
      .all()
      .filter(({ id, state }) => id !== this.peer && state === MemberState.Alive);
    const asked = random.sample(others, INDIRECT_PROBES);
    await Promise.all(asked.map(({ id }) => this.probeThrough(id)));
  }

  private async probeThrough(other: string): Promise<void> {
    const { peerCalls, memberTable, settings } = this.parts;
    const params = { target: this.peer };
    const { heartbeatMs } = settings.bounds;
    try {
      const result = await peerCalls.call(other, PeerMethod.Probe, params, heartbeatMs);
      const { entry } = probeAnswerSchema.parse(result);
      if (entry.id === this.peer) memberTable.learn(entry, true);
    } catch {
      // No answer is no evidence of life.
    }
  }

  private silentMs(): number {
    const { memberTable, timers } = this.parts;
    return timers.now() - (memberTable.record(this.peer)?.heardMs ?? -Infinity);
  }

  /** False if the watch was ended. */
  private async slept(ms: number): Promise<boolean> {
    try {
      await this.parts.timers.sleep(ms, this.ended.signal);
      return true;
    } catch {
      return false;
    }
  }
}
