import { LRUCache } from "lru-cache";
import type { DecisionLines } from "../forward/decision-lines.js";
import type { RouteView } from "../forward/route-view.js";
import type { WarmupRate } from "../forward/service-definition.js";
import type { UpstreamDirectory } from "../forward/upstream-directory.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { UpstreamHealthRegistry } from "../forward/upstream-health-registry.js";
import type { StoreView } from "../forward/store-view.js";
import { type Permit, PermitUse } from "../limit/permit.js";
import type { Pauses } from "../time/pauses.js";
import type { Subscription } from "../time/subscription.js";
import type { Timers } from "../time/timers.js";
import { ColdStatements } from "./cold-statements.js";
import type { EvacuationEnds } from "./evacuation-ends.js";
import { type WarmupBounds, warmupPace } from "./warmup-bounds.js";
import type { ColdProcess } from "./warmup-messages.js";

/** Far above the number of upstreams of a deployment. */
const MAX_UPSTREAMS = 4_096;

/** A response that says of no coldness. Times are on the monotonic clock in ms. */
interface Confirmation {
  readonly startedMs: number;
  /** The request was sent after this time. */
  readonly sentMs: number;
  /** Rows of this time name the process that responded; -Infinity if the response tells enough. */
  readonly rowsMs: number;
}

interface Parts {
  readonly timers: Timers;
  readonly directory: Pick<UpstreamDirectory, "find" | "remainingWarmupMs">;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly routeView: Pick<RouteView, "configuration">;
  readonly pauses: Pauses;
  readonly storeView: Pick<StoreView, "upstreamsAgeMs">;
  readonly evacuationEnds: EvacuationEnds;
  /** Undefined if nothing bounds what a cold upstream gets. */
  readonly warmupBounds: WarmupBounds | undefined;
  readonly decisionLines: DecisionLines;
}

type Upstream = Pick<UpstreamEntry, "id" | "service">;
type Process = Pick<UpstreamEntry, "id" | "startedMs">;

/**
 * The upstreams that are cold as far as this instance knows. After a pause of the process, or the
 * end of the evacuation of its data centre, an upstream counts as cold until its entry has been read
 * again; one that could not be reached may have restarted, and does until it has responded and its
 * entry, read after that, is the same. Both end after the time for which a start would make it cold.
 */
export class ColdUpstreams {
  private readonly statements: ColdStatements;
  /** What instances that could not connect to an upstream have told. */
  private readonly inferences: ColdStatements;
  private readonly confirmations = new LRUCache<string, Confirmation>({ max: MAX_UPSTREAMS });
  private readonly handlers = new Set<(process: ColdProcess) => void>();
  /** Processes that a log line says to be cold. */
  private readonly logged = new LRUCache<string, number>({ max: MAX_UPSTREAMS });
  private pausedMs = -Infinity;

  private constructor(private readonly parts: Parts) {
    this.statements = ColdStatements.create(parts);
    this.inferences = ColdStatements.create(parts);
    parts.pauses.subscribe(() => {
      this.pausedMs = parts.timers.now();
    });
  }

  static create(parts: Parts): ColdUpstreams {
    return new ColdUpstreams(parts);
  }

  isCold(upstream: Pick<Upstream, "id">): boolean {
    return this.remainingMs(upstream) > 0;
  }

  /** Remaining time in which an upstream is cold, in ms; 0 if it is not, or nothing bounds it. */
  remainingMs({ id }: Pick<Upstream, "id">): number {
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
  knownMs({ id }: Pick<Upstream, "id">): number {
    const { directory } = this.parts;
    return Math.max(directory.remainingWarmupMs(id), this.statements.remainingMs(id));
  }

  /**
   * Remaining time in which an upstream may be cold, as this instance could not connect to it, in ms.
   * An entry that is read after the failure may still be one of the process that has ended.
   */
  unreachedMs({ id, service }: Pick<UpstreamEntry, "id" | "service">): number {
    const { timers, upstreamHealth } = this.parts;
    const startMs = this.rateOf(service)?.startMs ?? 0;
    const { unreachableMs, backedOffUntilMs } = upstreamHealth.of(id);
    if (this.confirmedMs(id) > unreachableMs) return 0;
    return Math.max(0, backedOffUntilMs + startMs - timers.now());
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
  record(process: Process, remainingMs: number): void {
    this.statements.record(process, remainingMs);
  }

  /** Whether nobody has told yet that a process is cold, as its entry says. */
  isNews({ id, service, startedMs }: Pick<UpstreamEntry, "id" | "service" | "startedMs">): boolean {
    if (this.rateOf(service) === undefined) return false;
    return (
      (this.statements.find(id)?.startedMs ?? -1) < startedMs ||
      this.statements.remainingMs(id) === 0
    );
  }

  /** Records that other instances could not connect to an upstream. */
  recordInferred(process: Process, remainingMs: number): void {
    this.inferences.record(process, remainingMs);
  }

  /**
   * Records a response that says of no coldness, to a request that was sent after a time on the
   * monotonic clock. Unless it states that, another process may have sent it.
   */
  recordWarm(process: Process, sentMs: number, stated: boolean): void {
    const { id, startedMs } = process;
    if (this.coversDoubts(process) && !stated) return;
    const rowsMs = stated ? -Infinity : this.parts.timers.now();
    this.confirmations.set(id, { startedMs, sentMs, rowsMs });
  }

  /** Records what a response says; `permit` is the one with which the request was sent. */
  recordResponse(
    upstream: Upstream & Process,
    remainingMs: number | undefined,
    permit?: Permit,
  ): void {
    const { id, startedMs, service } = upstream;
    if (this.rateOf(service) === undefined) return;
    const known = this.knownMs(upstream) > 0;
    if (remainingMs !== undefined && remainingMs > 0) {
      this.record(upstream, remainingMs);
      if (!known) this.tell({ upstream: id, startedMs, remainingMs });
    } else if (!known && permit?.use === PermitUse.Warmup && this.isCold(upstream)) {
      const stated = remainingMs === 0;
      if (this.coversDoubts(upstream) && !stated) return;
      this.recordWarm(upstream, permit.grantedBeforeMs, stated);
      const warmAgeMs = this.parts.timers.now() - permit.grantedBeforeMs;
      this.tell({ upstream: id, startedMs, remainingMs: 0, warmAgeMs, stated });
    }
  }

  /** Calls `handler` with what upstreams state and other instances may not know. */
  subscribe(handler: (process: ColdProcess) => void): Subscription {
    this.handlers.add(handler);
    return { cancel: () => void this.handlers.delete(handler) };
  }

  private tell(process: ColdProcess): void {
    for (const handler of this.handlers) handler(process);
  }

  private inferredMs(id: string): number {
    const learntMs = this.inferences.find(id)?.learntMs ?? -Infinity;
    return this.confirmedMs(id) > learntMs ? 0 : this.inferences.remainingMs(id);
  }

  /** Time until which doubts of the listed process have ended. */
  private confirmedMs(id: string): number {
    const { timers, directory, storeView } = this.parts;
    const confirmation = this.confirmations.get(id);
    if (confirmation?.startedMs !== directory.find(id)?.startedMs) return -Infinity;
    const { sentMs = -Infinity, rowsMs = -Infinity } = confirmation ?? {};
    return timers.now() - storeView.upstreamsAgeMs > rowsMs ? sentMs : -Infinity;
  }

  /** Whether the last response ends all doubts once rows have been read. */
  private coversDoubts({ id, startedMs }: Process): boolean {
    const confirmation = this.confirmations.get(id);
    if (confirmation?.startedMs !== startedMs) return false;
    const learntMs = this.inferences.find(id)?.learntMs ?? -Infinity;
    const { unreachableMs } = this.parts.upstreamHealth.of(id);
    return confirmation.sentMs > Math.max(learntMs, unreachableMs, this.pausedMs);
  }

  /** Remaining time in which what is known of an upstream counts as too old, in ms. */
  private doubtMs(entry: UpstreamEntry, { startMs }: WarmupRate): number {
    const { timers, evacuationEnds, storeView } = this.parts;
    const restartMs = Math.max(this.inferredMs(entry.id), this.unreachedMs(entry));
    if (restartMs > 0) return restartMs;
    const sinceMs = Math.max(this.pausedMs, evacuationEnds.endedMs(entry.dataCentre) ?? -Infinity);
    const readMs = timers.now() - storeView.upstreamsAgeMs;
    if (Math.max(readMs, this.confirmedMs(entry.id)) > sinceMs) return 0;
    return Math.max(0, sinceMs + startMs - timers.now());
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
