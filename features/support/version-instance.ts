import type { ConsolaInstance } from "consola";
import { DecisionLines } from "../../src/forward/decision-lines.js";
import { ForwardMetrics } from "../../src/forward/forward-metrics.js";
import { RouteView } from "../../src/forward/route-view.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import type { UpstreamEntry } from "../../src/forward/upstream-entry.js";
import type { Members } from "../../src/peer/members.js";
import type { RandomSource } from "../../src/random/random-source.js";
import type { ManualTimers } from "../../src/time/manual-timers.js";
import { BegunStreams } from "../../src/version/begun-streams.js";
import { PlanKeeper } from "../../src/version/plan-keeper.js";
import { RecordReader } from "../../src/version/record-reader.js";
import { RecordWriter } from "../../src/version/record-writer.js";
import { StreamRecords } from "../../src/version/stream-records.js";
import { StreamVersions } from "../../src/version/stream-versions.js";
import { VersionPlans } from "../../src/version/version-plans.js";
import { aliveMemberOf } from "./alive-member.js";
import { configurationOf, routeOf } from "./forward-samples.js";
import type { MemoryPeers } from "./memory-peers.js";
import type { MemoryUpdates } from "./memory-updates.js";
import type { VersionRows } from "./version-rows.js";
import { Repeatability } from "../../src/forward/repeatability.js";

/** The route of all streams. */
export const STREAM_ROUTE = routeOf({
  repeatability: Repeatability.Stream,
  resumable: true,
  timeoutMs: 6_000,
});
export const SERVICE = "s";

/** What instances share. */
export interface VersionSite {
  readonly timers: ManualTimers;
  readonly random: RandomSource;
  readonly rows: VersionRows;
  readonly peers: MemoryPeers;
  readonly updates: MemoryUpdates;
  /** Ids of the instances that run. */
  readonly running: ReadonlySet<string>;
}

/** The parts of an instance that decide on software versions. */
export class VersionInstance {
  readonly versions: StreamVersions;
  private readonly directory: UpstreamDirectory;
  private readonly keeper: PlanKeeper;

  private constructor(
    readonly id: string,
    private readonly site: VersionSite,
  ) {
    const { timers, random, rows, peers, updates, running } = site;
    const log = { info: () => undefined, warn: () => undefined } as unknown as ConsolaInstance;
    const decisionLines = DecisionLines.create({ log, timers });
    const members: Members = {
      self: id,
      all: () => [...running].filter((each) => each !== id).map(aliveMemberOf),
      find: () => undefined,
      subscribe: () => ({ cancel: () => undefined }),
    };
    const routeView = RouteView.create();
    routeView.adopt(configurationOf({ routes: [STREAM_ROUTE] }));
    this.directory = UpstreamDirectory.create({ timers });
    const shared = {
      ...{ timers, random, self: id, incarnation: 1, members, routeView, decisionLines },
      ...{ directory: this.directory, rowStore: rows, updates: updates.of(id) },
      ...{ peerCalls: peers, peerMethods: peers.methodsOf(id) },
      storeView: { era: 1, upstreamsAgeMs: 0 },
      loopDelay: { recentMs: 0 },
      forwardMetrics: ForwardMetrics.create(),
    };
    const versionPlans = VersionPlans.create(shared);
    this.keeper = PlanKeeper.create({ ...shared, versionPlans });
    const recordReader = RecordReader.create(shared);
    const streamRecords = StreamRecords.create({
      ...shared,
      recordWriter: RecordWriter.create({ ...shared, recordReader }),
    });
    streamRecords.start();
    this.versions = StreamVersions.create({
      ...{ ...shared, versionPlans, streamRecords, planKeeper: this.keeper },
      ...{ begunStreams: BegunStreams.create(), recordReader },
    });
    this.keeper.start();
  }

  static create(id: string, site: VersionSite): VersionInstance {
    return new VersionInstance(id, site);
  }

  get entries(): readonly UpstreamEntry[] {
    return this.directory.forService(SERVICE);
  }

  list(entries: ReadonlyMap<string, UpstreamEntry>): void {
    const removed = this.entries.filter(({ id }) => !entries.has(id));
    const changes = [...removed.map(({ id }) => [id, undefined] as const), ...entries];
    this.directory.apply(changes, 0);
  }

  stop(): void {
    this.keeper.stop();
    this.site.updates.forget(this.id);
    this.site.peers.unreachable.add(this.id);
  }
}
