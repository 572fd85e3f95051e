import type { PeerLinks } from "../peer/peer-links.js";
import type { RandomSource } from "../random/random-source.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import type { RouteView } from "./route-view.js";
import type { StageOwners } from "./stage-owners.js";
import { shardsOf } from "./stage-shard.js";
import type { UpstreamDirectory } from "./upstream-directory.js";

/** Interval between looks at the owners; several of them fit between the start and first traffic. */
const INTERVAL_MS = 4_000;

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly self: string;
  readonly routeView: RouteView;
  readonly directory: UpstreamDirectory;
  readonly stageOwners: StageOwners;
  readonly peerCalls: PeerLinks;
}

/**
 * Keeps a connection open to each owner of stage calls. Answers the load pattern of a fleet whose
 * instances all get their first request in the same second: the owner would accept hundreds of
 * connections then, and answer the submissions on them late.
 */
export class OwnerLinks {
  private readonly subscriptions: Subscription[] = [];

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): OwnerLinks {
    return new OwnerLinks(parts);
  }

  /** Opens connections from now on; each instance at its own moment. */
  start(): void {
    const { timers, random } = this.parts;
    const first = timers.after(random.fraction() * INTERVAL_MS, () => {
      this.open();
      const next = timers.every(INTERVAL_MS, () => {
        this.open();
      });
      this.subscriptions.push(next);
    });
    this.subscriptions.push(first);
  }

  stop(): void {
    for (const subscription of this.subscriptions) subscription.cancel();
  }

  private open(): void {
    const { self, routeView, directory, stageOwners, peerCalls } = this.parts;
    const owners = new Set<string>();
    for (const [name, { stage }] of routeView.configuration?.services ?? []) {
      if (stage === undefined) continue;
      for (let shard = 0; shard < shardsOf(directory.forService(name).length); shard += 1) {
        const [owner] = stageOwners.ofShard(name, shard);
        if (owner !== undefined && owner !== self) owners.add(owner);
      }
    }
    for (const owner of owners) peerCalls.open(owner);
  }
}
