import type { Subscription } from "../time/subscription.js";
import type { Pauses } from "../time/pauses.js";
import type { Broadcast } from "./broadcast.js";
import { probeSchema } from "./heartbeat.js";
import type { ListCorrection } from "./list-correction.js";
import type { MemberEntry } from "./member-entry.js";
import type { MemberNews } from "./member-news.js";
import { MemberState } from "./member-state.js";
import { PeerMethod } from "./peer-method.js";
import type { PeerMethods } from "./peer-methods.js";
import { PeerWatch, type WatchParts } from "./peer-watch.js";

/** Heartbeats between trials of a dead member, which notice the end of a partition. */
const REVIVAL_BEATS = 3;
/** Many members change together when a region is cut; the watches are adjusted once for all. */
const WATCH_DELAY_MS = 100;

interface Parts extends WatchParts {
  readonly peerMethods: PeerMethods;
  readonly memberNews: MemberNews;
  readonly broadcast: Broadcast;
  readonly listCorrection: ListCorrection;
  readonly pauses: Pauses;
}

/** Watches other instances: all of them in a small fleet, successors on the ring in a large one. */
export class Membership {
  private readonly watches = new Map<string, PeerWatch>();
  private readonly subscriptions: Subscription[] = [];
  private stopped = false;
  private watchDue = false;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): Membership {
    const membership = new Membership(parts);
    parts.peerMethods.register(PeerMethod.Probe, (params) =>
      membership.probed(probeSchema.parse(params).target),
    );
    parts.broadcast.subscribeNews(({ entries }) => {
      membership.takeNews(entries);
    });
    return membership;
  }

  /** Resolves when the instance list was read once, whatever the result. */
  async start(): Promise<void> {
    const { timers, settings, memberTable, memberNews, listCorrection, pauses } = this.parts;
    const { heartbeatMs } = settings.bounds;
    this.subscriptions.push(
      memberTable.subscribe(() => {
        this.watchSoon();
      }),
      pauses.subscribe(() => {
        memberTable.restartSilence();
      }),
      timers.every(settings.instanceList.intervalMs, () => void listCorrection.read()),
      timers.every(REVIVAL_BEATS * heartbeatMs, () => void this.tryDead()),
    );
    await listCorrection.read();
    this.watch();
    memberNews.add(memberTable.own);
  }

  /** Tells the other instances that this one is leaving; it still answers them. */
  async leave(): Promise<void> {
    const { memberTable, memberNews } = this.parts;
    await memberNews.spread(memberTable.leave());
  }

  stop(): void {
    this.stopped = true;
    for (const subscription of this.subscriptions) subscription.cancel();
    for (const watch of this.watches.values()) watch.end();
    this.watches.clear();
  }

  private watchSoon(): void {
    if (this.watchDue) return;
    this.watchDue = true;
    this.parts.timers.after(WATCH_DELAY_MS, () => {
      this.watch();
    });
  }

  private watch(): void {
    this.watchDue = false;
    if (this.stopped) return;
    const { memberTable, settings } = this.parts;
    const count = memberTable.meshed ? settings.peers.meshMembers : settings.peers.successors;
    const wanted = new Set(memberTable.ring.successors(memberTable.self, count));
    for (const [id, watch] of this.watches) {
      if (wanted.has(id)) continue;
      watch.end();
      this.watches.delete(id);
    }
    for (const id of wanted) if (!this.watches.has(id)) this.startWatch(id);
  }

  private startWatch(id: string): void {
    // Nobody of this instance listened to the member before.
    const { memberTable } = this.parts;
    memberTable.restartSilenceOf(id);
    const watch = PeerWatch.create(this.parts, id, (entry) => {
      // In a full mesh each instance has its own evidence.
      if (!memberTable.meshed) this.parts.memberNews.add(entry);
    });
    this.watches.set(id, watch);
    void watch.run();
  }

  private async tryDead(): Promise<void> {
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

  private takeNews(entries: readonly MemberEntry[]): void {
    const { memberTable, memberNews } = this.parts;
    for (const entry of entries) {
      const { revision } = memberTable.own;
      memberTable.learn(entry, false);
      memberNews.known(entry);
      if (memberTable.own.revision !== revision) memberNews.add(memberTable.own);
    }
  }

  private async probed(target: string | undefined): Promise<unknown> {
    const { memberTable, peerCalls, settings } = this.parts;
    if (target === undefined || target === memberTable.self) return { entry: memberTable.own };
    return peerCalls.call(target, PeerMethod.Probe, {}, settings.bounds.heartbeatMs / 2);
  }
}
