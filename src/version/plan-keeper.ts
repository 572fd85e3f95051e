import { LRUCache } from "lru-cache";
import type { DecisionLines } from "../forward/decision-lines.js";
import type { RouteView } from "../forward/route-view.js";
import { StoreTable } from "../forward/store-table.js";
import type { StoreView } from "../forward/store-view.js";
import type { UpstreamDirectory } from "../forward/upstream-directory.js";
import { rendezvousMember } from "../order/rendezvous.js";
import { aliveMembers } from "../peer/alive-members.js";
import type { Members } from "../peer/members.js";
import type { Updates } from "../peer/updates.js";
import type { RandomSource } from "../random/random-source.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import { PlanChange } from "./plan-change.js";
import type { RowStore } from "./row-store.js";
import { SharedRead } from "./shared-read.js";
import { resumableServices, streamLifetimeMs } from "./stream-lifetime.js";
import { versionPlaces } from "./version-places.js";
import type { VersionPlans } from "./version-plans.js";

const CHECK_INTERVAL_MS = 500;
/** Spreads the first reads and writes of a fleet that starts all at once. */
const FIRST_WRITE_SPREAD_MS = 2_000;
/** Time after which an instance makes a change that the elected one has not made. */
const TAKEOVER_MS = 3_000;
/** Several for each distribution of each service. */
const MAX_NAMES = 4_096;

interface Parts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly self: string;
  readonly members: Members;
  readonly updates: Updates;
  readonly rowStore: RowStore;
  readonly routeView: RouteView;
  readonly directory: UpstreamDirectory;
  readonly storeView: Pick<StoreView, "era">;
  readonly versionPlans: VersionPlans;
  readonly decisionLines: DecisionLines;
}

/** A change of a plan that is due. */
interface DueChange {
  readonly sinceMs: number;
  /** Time after which this instance makes it, in ms. */
  readonly patienceMs: number;
}

/**
 * Reads the plans when the instance starts, and changes them when the versions of the upstreams have
 * changed. One instance does so for all, any other one if that fails; a write has no effect if
 * another one came first, and a plan is in force when its write is confirmed.
 */
export class PlanKeeper {
  private timer: Subscription | undefined;
  private loaded = false;
  private readonly plans = SharedRead.create(() => this.load());
  private busy = false;
  private readonly due = new Map<string, DueChange>();
  /** Times at which distributions and eras were first seen, by service and name. */
  private readonly firstSeenMs = new LRUCache<string, number>({ max: MAX_NAMES });

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): PlanKeeper {
    return new PlanKeeper(parts);
  }

  start(): void {
    const { timers } = this.parts;
    void this.check();
    this.timer = timers.every(CHECK_INTERVAL_MS, () => void this.check());
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** Reads all plans and returns the era of the store; throws `TableUnavailable`. */
  refresh(): Promise<number> {
    return this.plans.fresh();
  }

  private async check(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    try {
      if (!this.loaded) await this.refresh();
      const { configuration } = this.parts.routeView;
      for (const service of configuration === undefined ? [] : resumableServices(configuration))
        if (this.isOurs(service)) await this.write(service);
    } catch (error) {
      this.parts.decisionLines.write("plan of versions not stored", { detail: String(error) });
    } finally {
      this.busy = false;
    }
  }

  private async load(): Promise<number> {
    const { rowStore, versionPlans } = this.parts;
    const { rows, era } = await rowStore.readAll(StoreTable.VersionPlans);
    for (const [service, text] of rows) versionPlans.adoptText(service, text);
    this.loaded = true;
    return era;
  }

  /** Whether a change is due that this instance should make now. */
  private isOurs(service: string): boolean {
    const { timers, random, self, members } = this.parts;
    if (this.changeOf(service) === undefined) {
      this.due.delete(service);
      return false;
    }
    const now = timers.now();
    let due = this.due.get(service);
    if (due === undefined) {
      const alive = [self, ...aliveMembers(members).map(({ id }) => id)];
      const elected = rendezvousMember(service, alive) === self;
      const first = this.parts.versionPlans.of(service) === undefined;
      const spreadMs = random.fraction() * (first ? FIRST_WRITE_SPREAD_MS : TAKEOVER_MS);
      const patienceMs = elected ? (first ? spreadMs : 0) : TAKEOVER_MS + spreadMs;
      due = { sinceMs: now, patienceMs };
      this.due.set(service, due);
    }
    return now - due.sinceMs >= due.patienceMs;
  }

  private async write(service: string): Promise<void> {
    const { rowStore, versionPlans, updates } = this.parts;
    this.due.delete(service);
    const row = await rowStore.read(StoreTable.VersionPlans, service);
    if (row.text !== undefined) versionPlans.adoptText(service, row.text);
    const plan = this.changeOf(service)?.plan;
    if (plan === undefined) return;
    const text = JSON.stringify(plan);
    if (!(await rowStore.replace(StoreTable.VersionPlans, service, text, row.version))) return;
    versionPlans.adopt(service, plan);
    updates.publish({ kind: "version-plan", service, plan });
  }

  private changeOf(service: string): PlanChange | undefined {
    const { timers, routeView, directory, storeView, versionPlans } = this.parts;
    const { configuration } = routeView;
    if (configuration === undefined) return undefined;
    return PlanChange.create({
      plan: versionPlans.of(service),
      era: storeView.era,
      places: versionPlaces(directory.forService(service)),
      lifetimeMs: streamLifetimeMs(configuration, service),
      knownForMs: (name) => {
        const key = `${service} ${name}`;
        const seenMs = this.firstSeenMs.get(key) ?? timers.now();
        this.firstSeenMs.set(key, seenMs);
        return timers.now() - seenMs;
      },
    });
  }
}
