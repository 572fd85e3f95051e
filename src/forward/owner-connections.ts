import type { PeerConnections } from "../peer/peer-connections.js";
import type { RandomSource } from "../random/random-source.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { RouteView } from "./route-view.js";
import type { StageOwners } from "./stage-owners.js";
import { shardCount } from "./stage-shard.js";
import type { UpstreamDirectory } from "./upstream-directory.js";

/** Short enough for several checks between the start and the first traffic. */
const CONNECT_INTERVAL_MS = 4_000;

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly self: string;
  readonly routeView: RouteView;
  readonly directory: UpstreamDirectory;
  readonly stageOwners: StageOwners;
  readonly peerCalls: PeerConnections;
}

/**
 * Keeps a connection open to each owner of stage calls. If all instances of a fleet got their first
 * request in the same second, an owner would otherwise accept hundreds of connections at once and
 * answer the submissions on them late.
 */
export class OwnerConnections {
  private readonly subscriptions: Subscription[] = [];

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): OwnerConnections {
    return new OwnerConnections(parts);
  }

  /** Starts to open connections; a random delay spreads the instances over the interval. */
  start(): void {
    const { timers, random } = this.parts;
    const first = timers.after(random.fraction() * CONNECT_INTERVAL_MS, () => {
      this.connect();
      const next = timers.every(CONNECT_INTERVAL_MS, () => {
        this.connect();
      });
      this.subscriptions.push(next);
    });
    this.subscriptions.push(first);
  }

  stop(): void {
    for (const subscription of this.subscriptions) subscription.cancel();
  }

  private connect(): void {
    const { self, routeView, directory, stageOwners, peerCalls } = this.parts;
    const owners = new Set<string>();
    for (const [name, { stage }] of routeView.configuration?.services ?? []) {
      if (stage === undefined) continue;
      for (let shard = 0; shard < shardCount(directory.forService(name).length); shard += 1) {
        const [owner] = stageOwners.ownersForShard(name, shard);
        if (owner !== undefined && owner !== self) owners.add(owner);
      }
    }
    for (const owner of owners) peerCalls.open(owner);
  }
}
