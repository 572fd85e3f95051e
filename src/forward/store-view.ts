import { isDeepStrictEqual } from "node:util";
import { EvacuationRows } from "../evacuation/evacuation-rows.js";
import type { Evacuations } from "../evacuation/evacuations.js";
import type { HeartbeatReports } from "../peer/heartbeat-reports.js";
import type { PeerMethods } from "../peer/peer-methods.js";
import { PeerMethod } from "../peer/peer-method.js";
import { ConfigurationOrder } from "./configuration-order.js";
import type { DecisionLines } from "./decision-lines.js";
import { UpstreamOrder } from "./upstream-order.js";
import type { RouteView } from "./route-view.js";
import type { RowDecoder } from "./row-decoder.js";
import type { RowChange } from "./row-feed.js";
import type { ReadSchedule } from "./read-schedule.js";
import { RowFollower } from "./row-follower.js";
import { rowQuerySchema } from "./row-update.js";
import { VersionLag } from "../rows/version-lag.js";
import { StoreTable } from "./store-table.js";
import type { EntryChange, UpstreamDirectory } from "./upstream-directory.js";

/**
 * A waiting read returns a configuration change at once; the wait bounds how long a connection that
 * went silent goes unnoticed.
 */
const CONFIGURATION_SCHEDULE: ReadSchedule = { waitMs: 1_000, pauseMs: 0 };
/** Entries change with each upstream heartbeat, so a waiting read would return at once. */
const UPSTREAM_SCHEDULE: ReadSchedule = { waitMs: 0, pauseMs: 600 };
/** Entries that expired during an outage of the store reappear within this time, or are gone. */
const LAPSED_RETENTION_MS = 2_000;
/** Time in which a newer configuration that another instance has arrives by the usual reads. */
const CATCH_UP_DELAY_MS = 300;
/** Time after which requests are no longer handled by a configuration that is known to be old. */
const MAX_BEHIND_MS = 700;
/** Age from which a process that is late cannot know whether its configuration is old. */
const MAX_AGE_MS = 3_000;
const LATE_LOOP_MS = 250;

type FollowerParts = Parameters<typeof RowFollower.create>[0];

interface Parts extends FollowerParts {
  readonly peerMethods: PeerMethods;
  readonly rowDecoder: RowDecoder;
  readonly routeView: RouteView;
  readonly directory: UpstreamDirectory;
  readonly evacuations: Evacuations;
  readonly decisionLines: DecisionLines;
  readonly heartbeatReports: Pick<HeartbeatReports, "onVersion">;
}

/** Keeps the configuration and the upstreams in sync with the platform's store. */
export class StoreView {
  private readonly configuration: RowFollower;
  private readonly upstreams: RowFollower;
  private readonly versionLag: VersionLag;
  private readonly evacuationRows: EvacuationRows;
  /** Earliest time at which the last heartbeat can have arrived; infinite before the first one. */
  private heartbeatMs = Infinity;

  private constructor(private readonly parts: Parts) {
    this.versionLag = VersionLag.create(parts.timers);
    this.evacuationRows = EvacuationRows.create(parts);
    this.configuration = RowFollower.create(
      parts,
      StoreTable.Configuration,
      CONFIGURATION_SCHEDULE,
      ConfigurationOrder.create(parts.rowDecoder),
      (changes) => {
        // First, so that an instance that starts knows them before it has a configuration to serve.
        this.evacuationRows.apply(changes, this.configuration.cache.isRestored);
        this.applyConfiguration(changes);
        return changes.map(([key]) => key);
      },
    );
    this.upstreams = RowFollower.create(
      parts,
      StoreTable.Upstreams,
      UPSTREAM_SCHEDULE,
      UpstreamOrder.create(parts.rowDecoder),
      (changes) => this.applyUpstreams(changes),
    );
  }

  static create(parts: Parts): StoreView {
    const view = new StoreView(parts);
    parts.peerMethods.register(PeerMethod.StoreRows, (params) => {
      const { table, ...query } = rowQuerySchema.parse(params);
      const follower = table === StoreTable.Configuration ? view.configuration : view.upstreams;
      return follower.answerQuery(query);
    });
    return view;
  }

  /** Whether the configuration and the upstreams have been read at least once. */
  get loaded(): boolean {
    return this.parts.routeView.version > 0 && this.upstreams.cache.version >= 0;
  }

  /** Era of the store in the rows of the upstreams. */
  get era(): number {
    return this.upstreams.cache.era;
  }

  /** Age of the rows of the upstreams in ms; infinite before they were read. */
  get upstreamsAgeMs(): number {
    return this.upstreams.freshness.ageMs;
  }

  /** Whether requests may be handled by the configuration that this instance has. */
  get isCurrent(): boolean {
    const { timers, routeView, loopDelay } = this.parts;
    if (this.versionLag.behindMs(routeView.version) > MAX_BEHIND_MS) return false;
    // While the store is away, the configuration stays in force; heartbeats name a newer one.
    const sinceConfirmedMs = Math.min(
      this.configuration.freshness.ageMs,
      timers.now() - this.heartbeatMs,
    );
    return sinceConfirmedMs <= MAX_AGE_MS || loopDelay.recentMs <= LATE_LOOP_MS;
  }

  start(): void {
    this.parts.heartbeatReports.onVersion((instance, version) => {
      this.recordVersion(instance, version);
    });
    void this.configuration.run();
    void this.upstreams.run();
  }

  stop(): void {
    this.configuration.stop();
    this.upstreams.stop();
  }

  /** Takes the configuration from another instance if this one does not get it otherwise. */
  private recordVersion(instance: string, version: number): void {
    const { timers, routeView, loopDelay, decisionLines } = this.parts;
    this.heartbeatMs = timers.now() - loopDelay.recentMs;
    this.versionLag.record(version, routeView.version);
    if (version <= routeView.version) return;
    timers.after(CATCH_UP_DELAY_MS, () => {
      const own = routeView.version;
      if (version <= own) return;
      const ageMs = Math.round(this.configuration.freshness.ageMs);
      decisionLines.write("configuration is behind", { instance, version, own, ageMs });
      this.configuration.compareWith(instance);
    });
  }

  private applyConfiguration(changes: readonly RowChange[]): void {
    const { rowDecoder, routeView, decisionLines } = this.parts;
    for (const [key, text] of changes) {
      if (text === undefined) continue;
      try {
        const configuration = rowDecoder.configuration(key, text);
        if (configuration === undefined) continue;
        const previousVersion = routeView.version;
        if (!routeView.adopt(configuration)) continue;
        const { version, routes } = configuration;
        decisionLines.write("configuration adopted", {
          version,
          from: previousVersion,
          routes: routes.length,
        });
      } catch (error) {
        decisionLines.write("configuration row could not be applied", {
          key,
          detail: String(error),
        });
      }
    }
  }

  /** Returns the ids of entries in which more than the heartbeat changed. */
  private applyUpstreams(changes: readonly RowChange[]): readonly string[] {
    const { rowDecoder, directory, decisionLines } = this.parts;
    const changedIds: string[] = [];
    const entries = changes.map(([id, text]): EntryChange => {
      const entry = text === undefined ? undefined : rowDecoder.upstream(id, text);
      const previous = directory.find(id);
      if (!isDeepStrictEqual(entry, previous)) changedIds.push(id);
      if (entry?.draining !== previous?.draining || entry?.address !== previous?.address) {
        decisionLines.write("upstream changed", {
          upstream: id,
          service: entry?.service ?? previous?.service,
          address: entry?.address,
          state: entry === undefined ? "removed" : entry.draining ? "draining" : "serving",
        });
      }
      return [id, entry];
    });
    const retentionMs =
      this.upstreams.sinceFailureMs < LAPSED_RETENTION_MS ? LAPSED_RETENTION_MS : 0;
    directory.apply(entries, retentionMs);
    return changedIds;
  }
}
