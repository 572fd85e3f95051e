import { LRUCache } from "lru-cache";
import type { DecisionLines } from "../forward/decision-lines.js";
import type { RouteView } from "../forward/route-view.js";
import type { WarmupRate } from "../forward/service-definition.js";
import type { UpstreamDirectory } from "../forward/upstream-directory.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { UpstreamHealthRegistry } from "../forward/upstream-health-registry.js";
import type { Pauses } from "../time/pauses.js";
import type { Timers } from "../time/timers.js";
import type { EvacuationEnds } from "./evacuation-ends.js";
import { type WarmupBounds, warmupPace } from "./warmup-bounds.js";

/** Far above the number of upstreams of a deployment. */
const MAX_UPSTREAMS = 4_096;

interface Statement {
  readonly startedMs: number;
  readonly untilMs: number;
}

/** The entry that was known at a time after which it does not count. */
interface Doubt {
  readonly sinceMs: number;
  readonly entry: UpstreamEntry | undefined;
}

interface Parts {
  readonly timers: Timers;
  readonly directory: Pick<UpstreamDirectory, "find" | "remainingWarmupMs">;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly routeView: Pick<RouteView, "configuration">;
  readonly pauses: Pauses;
  readonly evacuationEnds: EvacuationEnds;
  /** Undefined if nothing bounds what a cold upstream gets. */
  readonly warmupBounds: WarmupBounds | undefined;
  readonly decisionLines: DecisionLines;
}

type Upstream = Pick<UpstreamEntry, "id">;

/**
 * The upstreams that are cold as far as this instance knows. After a pause of the process, or the
 * end of the evacuation of its data centre, an upstream counts as cold until its entry has been read
 * again, for as long as a start would make it cold. One that could not be reached may have restarted.
 */
export class ColdUpstreams {
  private readonly statements = new LRUCache<string, Statement>({ max: MAX_UPSTREAMS });
  private readonly doubts = new LRUCache<string, Doubt>({ max: MAX_UPSTREAMS });
  /** Processes that a log line says to be cold. */
  private readonly logged = new LRUCache<string, number>({ max: MAX_UPSTREAMS });
  private pausedMs = -Infinity;

  private constructor(private readonly parts: Parts) {
    parts.pauses.subscribe(() => {
      this.pausedMs = parts.timers.now();
    });
  }

  static create(parts: Parts): ColdUpstreams {
    return new ColdUpstreams(parts);
  }

  isCold(upstream: Upstream): boolean {
    return this.remainingMs(upstream) > 0;
  }

  /** Remaining time in which an upstream is cold, in ms; 0 if it is not, or nothing bounds it. */
  remainingMs({ id }: Upstream): number {
    const entry = this.parts.directory.find(id);
    if (entry === undefined) return 0;
    const rate = this.rateOf(entry.service);
    if (rate === undefined) return 0;
    const knownMs = this.knownMs({ id });
    const remainingMs = Math.max(knownMs, this.doubtMs(entry, rate));
    if (remainingMs > 0) this.log(entry, remainingMs, knownMs > 0);
    else this.logged.delete(id);
    return remainingMs;
  }

  /** The part of the remaining time that an entry or a response states, in ms. */
  knownMs({ id }: Upstream): number {
    const { directory, timers } = this.parts;
    const statement = this.statements.get(id);
    // A newer process than the listed one answers at the same address.
    const applies = (statement?.startedMs ?? -1) >= (directory.find(id)?.startedMs ?? 0);
    const statedMs = applies ? (statement?.untilMs ?? 0) - timers.now() : 0;
    return Math.max(0, directory.remainingWarmupMs(id), statedMs);
  }

  /**
   * Remaining time in which an upstream may be cold, as this instance could not connect to it, in ms.
   * An entry that is read after the failure may still be one of the process that has ended.
   */
  unreachedMs({ id, service }: Pick<UpstreamEntry, "id" | "service">): number {
    const { timers, upstreamHealth } = this.parts;
    const startMs = this.rateOf(service)?.startMs ?? 0;
    return Math.max(0, upstreamHealth.of(id).backedOffUntilMs + startMs - timers.now());
  }

  /** Requests per second that the fleet may send to a cold upstream of a service. */
  paceOf(service: string): number | undefined {
    const { warmupBounds } = this.parts;
    const rate = this.rateOf(service);
    if (rate === undefined || warmupBounds === undefined) return undefined;
    return warmupPace(rate.requestsPerSecond, warmupBounds);
  }

  /**
   * Records how long an upstream process stays cold as a response of it, or another instance, states.
   * Never shortens an earlier statement.
   */
  record({ id, startedMs }: Pick<UpstreamEntry, "id" | "startedMs">, remainingMs: number): void {
    if (remainingMs <= 0) return;
    const untilMs = this.parts.timers.now() + remainingMs;
    const known = this.statements.get(id);
    if (known !== undefined && known.startedMs > startedMs) return;
    if (known?.startedMs === startedMs && known.untilMs >= untilMs) return;
    this.statements.set(id, { startedMs, untilMs });
  }

  /** Remaining time in which what is known of an upstream counts as too old, in ms. */
  private doubtMs(entry: UpstreamEntry, { startMs }: WarmupRate): number {
    const { timers, evacuationEnds } = this.parts;
    const restartMs = this.unreachedMs(entry);
    if (restartMs > 0) return restartMs;
    const sinceMs = Math.max(this.pausedMs, evacuationEnds.endedMs(entry.dataCentre) ?? -Infinity);
    const remainingMs = sinceMs + startMs - timers.now();
    if (remainingMs <= 0) return 0;
    let doubt = this.doubts.get(entry.id);
    if (doubt?.sinceMs !== sinceMs) {
      doubt = { sinceMs, entry };
      this.doubts.set(entry.id, doubt);
    }
    return doubt.entry === entry ? remainingMs : 0;
  }

  private rateOf(service: string): WarmupRate | undefined {
    const { routeView, warmupBounds } = this.parts;
    if (warmupBounds === undefined) return undefined;
    const rate = routeView.configuration?.services.get(service)?.warmup;
    return rate !== undefined && rate.requestsPerSecond > 0 ? rate : undefined;
  }

  private log({ id, service, startedMs }: UpstreamEntry, ms: number, stated: boolean): void {
    if (this.logged.get(id) === startedMs) return;
    this.logged.set(id, startedMs);
    this.parts.decisionLines.write("upstream cold", {
      ...{ upstream: id, service, stated },
      remainingMs: Math.round(ms),
      perSecond: this.paceOf(service),
    });
  }
}
