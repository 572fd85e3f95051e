import type { Subscription } from "../time/subscription.js";
import type { Pauses } from "../time/pauses.js";
import type { Broadcast } from "./broadcast.js";
import { probeSchema } from "./heartbeat.js";
import type { InstanceListSync } from "./instance-list-sync.js";
import type { MemberEntry } from "./member-entry.js";
import type { MemberChangeQueue } from "./member-change-queue.js";
import { MemberState } from "./member-state.js";
import { PeerMethod } from "./peer-method.js";
import type { PeerMethods } from "./peer-methods.js";
import { PeerMonitor, type MonitorParts } from "./peer-monitor.js";

/** Heartbeat intervals between calls to a dead member, which detect the end of a partition. */
const HEARTBEATS_PER_REVIVAL_ATTEMPT = 3;
/** Many members change together when a region is cut off; the monitors are updated once for all. */
const MONITOR_UPDATE_DELAY_MS = 100;

interface Parts extends MonitorParts {
  readonly peerMethods: PeerMethods;
  readonly memberChangeQueue: MemberChangeQueue;
  readonly broadcast: Broadcast;
  readonly instanceListSync: InstanceListSync;
  readonly pauses: Pauses;
}

/** Monitors other instances: all in a small fleet, the successors on the ring in a large one. */
export class Membership {
  private readonly monitors = new Map<string, PeerMonitor>();
  private readonly subscriptions: Subscription[] = [];
  private stopped = false;
  private monitorUpdateScheduled = false;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): Membership {
    const membership = new Membership(parts);
    parts.peerMethods.register(PeerMethod.Probe, (params) =>
      membership.answerProbe(probeSchema.parse(params).target),
    );
    parts.broadcast.subscribeMemberChanges(({ entries }) => {
      membership.applyMemberChanges(entries);
    });
    return membership;
  }

  /** Resolves once the instance list has been read, even if that failed. */
  async start(): Promise<void> {
    const { timers, settings, memberTable, memberChangeQueue, instanceListSync, pauses } =
      this.parts;
    const { heartbeatMs } = settings.bounds;
    this.subscriptions.push(
      memberTable.subscribe(() => {
        this.scheduleMonitorUpdate();
      }),
      pauses.subscribe(() => {
        memberTable.resetAllSilences();
      }),
      timers.every(settings.instanceList.intervalMs, () => void instanceListSync.sync()),
      timers.every(
        HEARTBEATS_PER_REVIVAL_ATTEMPT * heartbeatMs,
        () => void this.contactDeadMember(),
      ),
    );
    await instanceListSync.sync();
    this.updateMonitors();
    memberChangeQueue.add(memberTable.own);
  }

  /** Broadcasts that this instance is leaving; it still answers the others. */
  async leave(): Promise<void> {
    const { memberTable, memberChangeQueue } = this.parts;
    await memberChangeQueue.broadcastNow(memberTable.markLeaving());
  }

  stop(): void {
    this.stopped = true;
    for (const subscription of this.subscriptions) subscription.cancel();
    for (const monitor of this.monitors.values()) monitor.stop();
    this.monitors.clear();
  }

  private scheduleMonitorUpdate(): void {
    if (this.monitorUpdateScheduled) return;
    this.monitorUpdateScheduled = true;
    this.parts.timers.after(MONITOR_UPDATE_DELAY_MS, () => {
      this.updateMonitors();
    });
  }

  private updateMonitors(): void {
    this.monitorUpdateScheduled = false;
    if (this.stopped) return;
    const { memberTable, settings } = this.parts;
    const count = memberTable.isFullMesh ? settings.peers.meshMembers : settings.peers.successors;
    const wanted = new Set(memberTable.ring.successors(memberTable.self, count));
    for (const [id, monitor] of this.monitors) {
      if (wanted.has(id)) continue;
      monitor.stop();
      this.monitors.delete(id);
    }
    for (const id of wanted) if (!this.monitors.has(id)) this.startMonitor(id);
  }

  private startMonitor(id: string): void {
    // The member was not monitored before, so its silence so far is no evidence.
    const { memberTable } = this.parts;
    memberTable.resetSilenceOf(id);
    const monitor = PeerMonitor.create(this.parts, id, (entry) => {
      // In a full mesh each instance detects the death itself.
      if (!memberTable.isFullMesh) this.parts.memberChangeQueue.add(entry);
    });
    this.monitors.set(id, monitor);
    void monitor.run();
  }

  private async contactDeadMember(): Promise<void> {
    const { memberTable, random, heartbeats } = this.parts;
    const dead = memberTable.all().filter(({ state }) => state === MemberState.Dead);
    const [chosen] = random.sample(dead, 1);
    if (chosen === undefined) return;
    try {
      await heartbeats.exchange(chosen.id);
    } catch {
      // The member is still dead.
    }
  }

  private applyMemberChanges(entries: readonly MemberEntry[]): void {
    const { memberTable, memberChangeQueue } = this.parts;
    for (const entry of entries) {
      const { revision } = memberTable.own;
      memberTable.merge(entry, false);
      memberChangeQueue.dropSuperseded(entry);
      if (memberTable.own.revision !== revision) memberChangeQueue.add(memberTable.own);
    }
  }

  private async answerProbe(target: string | undefined): Promise<unknown> {
    const { memberTable, peerCalls, settings } = this.parts;
    if (target === undefined || target === memberTable.self) return { entry: memberTable.own };
    return peerCalls.call(target, PeerMethod.Probe, {}, settings.bounds.heartbeatMs / 2);
  }
}
