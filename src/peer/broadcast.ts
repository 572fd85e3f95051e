import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { Division, Share } from "./division.js";
import { MemberState } from "./member-state.js";
import type { MemberTable } from "./member-table.js";
import type { PeerCalls } from "./peer-calls.js";
import { PeerMethod } from "./peer-method.js";
import type { PeerMethods } from "./peer-methods.js";
import { ringDivision } from "./ring-division.js";
import { type BroadcastCall, type SpreadItem, broadcastSchema } from "./spread-item.js";
import type { Update } from "./update.js";
import { UpdateStore } from "./update-store.js";
import type { Updates } from "./updates.js";

/** Time limit of a call; two quiet connections fit into it. */
const CALL_MS = 1_000;
/** Time after which the next member of a range is tried as well; above a round trip between regions. */
const NEXT_MS = 300;
const RADIX = 36;

interface Parts {
  readonly timers: Timers;
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
  readonly memberTable: MemberTable;
}

/** Spreads updates along the ring of members; heartbeats repair what it misses. */
export class Broadcast implements Updates {
  readonly store: UpdateStore;
  private readonly handlers = new Set<(update: Update) => void>();
  private readonly newsHandlers = new Set<(item: SpreadItem & { kind: "members" }) => void>();
  private sequence = 0;

  private constructor(
    private readonly parts: Parts,
    private readonly division: Division,
  ) {
    this.store = UpdateStore.create(parts.timers);
  }

  static create(parts: Parts, division: Division = ringDivision): Broadcast {
    const broadcast = new Broadcast(parts, division);
    parts.peerMethods.register(PeerMethod.Broadcast, (params) => {
      broadcast.receive(broadcastSchema.parse(params));
      return Promise.resolve(true);
    });
    return broadcast;
  }

  publish(update: Update): void {
    void this.spread(update);
  }

  /** Spreads an item that this instance made; resolves when its children have it or are tried. */
  async spread(item: SpreadItem): Promise<void> {
    const { self, own } = this.parts.memberTable;
    this.sequence += 1;
    const id = [self, own.incarnation.toString(RADIX), this.sequence.toString(RADIX)].join(":");
    this.store.add(id, item);
    await this.pass(id, item, self);
  }

  subscribe(handler: (update: Update) => void): Subscription {
    this.handlers.add(handler);
    return {
      cancel: () => {
        this.handlers.delete(handler);
      },
    };
  }

  /** Calls `handler` with news of members. */
  subscribeNews(handler: (item: SpreadItem & { kind: "members" }) => void): void {
    this.newsHandlers.add(handler);
  }

  /** Sends updates that a heartbeat partner lacks; a failure is left to the next heartbeat. */
  async repair(instance: string, ids: readonly string[]): Promise<void> {
    for (const id of ids) {
      const item = this.store.find(id);
      if (item === undefined) continue;
      if (!(await this.sent(instance, { id, item }))) return;
    }
  }

  private receive({ id, item, until }: ReturnType<typeof broadcastSchema.parse>): void {
    // A repaired copy may come first; its receiver still has to cover the range.
    if (until !== undefined && this.store.addPassed(id)) void this.pass(id, item, until);
    if (!this.store.add(id, item)) return;
    if (item.kind === "members") for (const handler of this.newsHandlers) handler(item);
    else for (const handler of this.handlers) handler(item);
  }

  private async pass(id: string, item: SpreadItem, until: string): Promise<void> {
    const { memberTable } = this.parts;
    const reachable = memberTable.ring
      .between(memberTable.self, until)
      .filter((member) => memberTable.find(member)?.state !== MemberState.Suspect);
    const shares = this.division(reachable, until);
    await Promise.all(shares.map((share) => this.deliver(id, item, share)));
  }

  private async deliver(id: string, item: SpreadItem, share: Share): Promise<void> {
    const { until } = share;
    const call = { id, item, ...(until === undefined ? {} : { until }) };
    const { memberTable, timers } = this.parts;
    const accepted = new Set<string>();
    for (const candidate of share.candidates) {
      if (accepted.size > 0) return;
      if (memberTable.find(candidate)?.state === MemberState.Dead) continue;
      const answered = this.sent(candidate, call).then((sent) => {
        if (sent) accepted.add(candidate);
      });
      // A late member may still accept the item; both then cover the range, and copies are dropped.
      await Promise.race([answered, timers.sleep(NEXT_MS)]);
    }
  }

  private async sent(instance: string, call: BroadcastCall): Promise<boolean> {
    try {
      await this.parts.peerCalls.call(instance, PeerMethod.Broadcast, call, CALL_MS);
      return true;
    } catch {
      return false;
    }
  }
}
