import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { Partitioner, Partition } from "./partitioner.js";
import { MemberState } from "./member-state.js";
import type { MemberTable } from "./member-table.js";
import type { PeerCalls } from "./peer-calls.js";
import { PeerMethod } from "./peer-method.js";
import type { PeerMethods } from "./peer-methods.js";
import { partitionRange } from "./partition-range.js";
import { type BroadcastCall, type BroadcastItem, broadcastCallSchema } from "./broadcast-item.js";
import type { Update } from "./update.js";
import { UpdateStore } from "./update-store.js";
import type { Updates } from "./updates.js";

/** Time limit of one call; it leaves time for two silent connections. */
const CALL_TIMEOUT_MS = 1_000;
/** Delay before the next candidate of a range is called too; above a round trip between regions. */
const NEXT_CANDIDATE_DELAY_MS = 300;
const RADIX = 36;

/** What became of an item that was sent to one instance. */
enum Delivery {
  Accepted = "accepted",
  /** The instance answered, but does not know items of this kind. */
  Rejected = "rejected",
  Failed = "failed",
}

interface Parts {
  readonly timers: Timers;
  readonly peerCalls: PeerCalls;
  readonly peerMethods: PeerMethods;
  readonly memberTable: MemberTable;
}

/** Broadcasts items along the ring of members; heartbeats resend updates that it misses. */
export class Broadcast implements Updates {
  readonly store: UpdateStore;
  private readonly handlers = new Set<(update: Update) => void>();
  private readonly memberChangeHandlers = new Set<
    (item: BroadcastItem & { kind: "members" }) => void
  >();
  private sequence = 0;

  private constructor(
    private readonly parts: Parts,
    private readonly partitioner: Partitioner,
  ) {
    this.store = UpdateStore.create(parts.timers);
  }

  static create(parts: Parts, partitioner: Partitioner = partitionRange): Broadcast {
    const broadcast = new Broadcast(parts, partitioner);
    parts.peerMethods.register(PeerMethod.Broadcast, (params) => {
      broadcast.receive(broadcastCallSchema.parse(params));
      return Promise.resolve(true);
    });
    return broadcast;
  }

  publish(update: Update): void {
    void this.send(update);
  }

  /** Broadcasts an item of this instance; resolves once every direct receiver has been tried. */
  async send(item: BroadcastItem): Promise<void> {
    const { self } = this.parts.memberTable;
    this.sequence += 1;
    const id = `${this.ownPrefix}${this.sequence.toString(RADIX)}`;
    this.store.add(id, item);
    await this.forward(id, item, self);
  }

  subscribe(handler: (update: Update) => void): Subscription {
    this.handlers.add(handler);
    for (const [id, item] of this.store.items)
      if (!id.startsWith(this.ownPrefix) && item.kind !== "members") handler(item);
    return {
      cancel: () => {
        this.handlers.delete(handler);
      },
    };
  }

  /** Calls `handler` with broadcast changes of members. */
  subscribeMemberChanges(handler: (item: BroadcastItem & { kind: "members" }) => void): void {
    this.memberChangeHandlers.add(handler);
  }

  /** Sends updates that an instance lacks; after a failure, the next heartbeat starts it again. */
  async repair(instance: string, ids: readonly string[]): Promise<void> {
    for (const id of ids) {
      const item = this.store.find(id);
      if (item === undefined) continue;
      if ((await this.offer(instance, { id, item })) === Delivery.Failed) return;
    }
  }

  /** Begins the IDs of the items of this run of the instance. */
  private get ownPrefix(): string {
    const { self, own } = this.parts.memberTable;
    return `${self}:${own.incarnation.toString(RADIX)}:`;
  }

  private receive({ id, item, until }: ReturnType<typeof broadcastCallSchema.parse>): void {
    // A resent copy may arrive before the broadcast, which must still be forwarded to the range.
    if (until !== undefined && this.store.addForwarded(id)) void this.forward(id, item, until);
    if (!this.store.add(id, item)) return;
    if (item.kind === "members") for (const handler of this.memberChangeHandlers) handler(item);
    else for (const handler of this.handlers) handler(item);
  }

  private async forward(id: string, item: BroadcastItem, until: string): Promise<void> {
    const { memberTable } = this.parts;
    const reachable = memberTable.ring
      .between(memberTable.self, until)
      .filter((member) => memberTable.find(member)?.state !== MemberState.Suspect);
    const partitions = this.partitioner(reachable, until);
    await Promise.all(partitions.map((share) => this.deliver(id, item, share)));
  }

  private async deliver(id: string, item: BroadcastItem, share: Partition): Promise<void> {
    const { until } = share;
    const call = { id, item, ...(until === undefined ? {} : { until }) };
    const { memberTable, timers } = this.parts;
    const accepted = new Set<string>();
    for (const candidate of share.candidates) {
      if (accepted.size > 0) return;
      if (memberTable.find(candidate)?.state === MemberState.Dead) continue;
      const attempt = this.offer(candidate, call).then((delivery) => {
        if (delivery === Delivery.Accepted) accepted.add(candidate);
      });
      // A slow member may still accept the item; then both forward it, and receivers drop duplicates.
      await Promise.race([attempt, timers.sleep(NEXT_CANDIDATE_DELAY_MS)]);
    }
  }

  private async offer(instance: string, call: BroadcastCall): Promise<Delivery> {
    try {
      await this.parts.peerCalls.call(instance, PeerMethod.Broadcast, call, CALL_TIMEOUT_MS);
      return Delivery.Accepted;
    } catch (error) {
      const answered = error instanceof ServeError && error.kind !== ErrorKind.PeerUnavailable;
      return answered ? Delivery.Rejected : Delivery.Failed;
    }
  }
}
