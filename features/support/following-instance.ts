import { Evacuations } from "../../src/evacuation/evacuations.js";
import type { RowUpdate } from "../../src/forward/row-update.js";
import { RouteView } from "../../src/forward/route-view.js";
import { StoreTable } from "../../src/forward/store-table.js";
import { StoreView } from "../../src/forward/store-view.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { RandomSource } from "../../src/random/random-source.js";
import type { Timers } from "../../src/time/timers.js";
import { PlatformRowDecoder } from "../../platform/platform-row-decoder.js";
import { aliveMemberOf } from "./alive-member.js";
import type { OperatorStore } from "./operator-store.js";

type Handler = (params: unknown) => Promise<RowUpdate>;

/** An instance that follows the operator's table and may ask one other instance. */
export class FollowingInstance {
  readonly evacuations: Evacuations;
  readonly storeView: StoreView;
  turnedAway = false;
  frozen = false;
  loopDelayMs = 0;
  /** Receives a heartbeat of the other instance, which names its configuration. */
  hear: (version: number) => void = () => undefined;
  /** Answers the queries of the other instance. */
  private handler: Handler | undefined;

  private constructor(
    timers: Timers,
    store: OperatorStore,
    id: string,
    other: { id: string; find: () => FollowingInstance | undefined },
  ) {
    const reachable = (): boolean => !this.turnedAway && !this.frozen;
    this.evacuations = Evacuations.create({ timers });
    const delayMs = (): number => this.loopDelayMs;
    this.storeView = StoreView.create({
      ...{ self: id, cores: 1, timers, random: RandomSource.create(1) },
      loopDelay: {
        get recentMs() {
          return delayMs();
        },
      },
      members: { self: id, all: () => [aliveMemberOf(other.id)] } as never,
      peerMethods: {
        register: (_method: unknown, handler: Handler) => (this.handler = handler),
      } as never,
      peerCalls: {
        call: async (_peer, _method, params, timeoutMs) => {
          const peer = other.find();
          if (!this.frozen && peer?.frozen === false && peer.handler !== undefined) {
            await timers.sleep(1);
            return peer.handler(params);
          }
          await timers.sleep(timeoutMs);
          throw new Error("no answer in time");
        },
      },
      rowFeed: {
        readAll: (table) =>
          table === StoreTable.Configuration
            ? store.readAll(reachable)
            : Promise.resolve({ rows: [], era: 1, version: 1 }),
        readChanges: async (table, after, waitMs) => {
          if (table === StoreTable.Configuration)
            return store.readChanges(reachable, after, waitMs);
          await timers.sleep(1_000);
          return { kind: "changes", changes: [], era: 1, version: 1 };
        },
        put: () => Promise.resolve(),
      },
      heartbeatReports: {
        onVersion: (handler) => {
          this.hear = (version) => {
            handler(other.id, version);
          };
        },
      },
      ...{ rowDecoder: PlatformRowDecoder.create(), routeView: RouteView.create() },
      directory: UpstreamDirectory.create({ timers, evacuations: this.evacuations }),
      evacuations: this.evacuations,
      decisionLines: { write: () => undefined } as never,
    });
    this.storeView.start();
  }

  static create(
    timers: Timers,
    store: OperatorStore,
    id: string,
    other: { id: string; find: () => FollowingInstance | undefined },
  ): FollowingInstance {
    return new FollowingInstance(timers, store, id, other);
  }
}
