import { aliveMembers } from "../peer/alive-members.js";
import { AvoidedInstances } from "../peer/avoided-instances.js";
import type { Members } from "../peer/members.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import { largeInstances, type SizedInstance, withAssumedSizes } from "./instance-size.js";
import { assignOwners, MAX_OWNERS } from "./owner-assignment.js";
import type { RouteView } from "./route-view.js";
import { shardOf, shardCount } from "./stage-shard.js";
import type { UpstreamDirectory } from "./upstream-directory.js";

/** Age at which the assignment is renewed; short compared with the detection of a lost instance. */
const ASSIGNMENT_INTERVAL_MS = 200;
/** An instance that started later than this after the median start counts as recently started. */
const MAX_START_LAG_MS = 1_500;
/** Time after which an instance is not recently started; longer than a stage queue drains. */
const MIN_UPTIME_MS = 10_000;
/** Fewest instances that may be owners, if there are as many. */
const MIN_CANDIDATES = 4;

interface Candidate extends SizedInstance {
  /** Start time of the process in ms since the epoch. */
  readonly incarnation: number;
}

interface KnownStart {
  readonly incarnation: number;
  /** On the monotonic clock, in ms. */
  readonly firstSeenMs: number;
}

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  /** Start time of this process in ms since the epoch. */
  readonly incarnation: number;
  /** Processor cores that this instance may use. */
  readonly cores: number;
  readonly members: Members;
  readonly routeView: RouteView;
  readonly directory: UpstreamDirectory;
  readonly decisionLines: DecisionLines;
}

/**
 * The owners of each service and shard: the instances that fill its calls. In a rolling restart
 * under overload, an instance that has just started would take over from an owner whose queue is
 * full, and both would fill calls for the same upstreams; recently started instances are therefore
 * not owners. In a fleet of mixed sizes only large instances are owners: a small one answers the
 * submissions of the whole fleet after their time limit, and the submitters turn to other owners.
 */
export class StageOwners {
  private readonly unreachable: AvoidedInstances;
  /** Instances that answered late once. */
  private readonly recentlyLate: AvoidedInstances;
  private isLeaving = false;
  private isSuspended = false;
  private alive: ReadonlySet<string> = new Set();
  private candidates: readonly Candidate[] = [];
  private assigned: ReadonlyMap<string, readonly string[]> = new Map();
  private assignedAtMs = -Infinity;
  /** The current start of each instance and when it was first seen. */
  private knownStarts: ReadonlyMap<string, KnownStart> = new Map();
  /** Pools of which this instance was the first owner at the last assignment. */
  private ownedPools: readonly string[] = [];

  private constructor(private readonly parts: Parts) {
    this.unreachable = AvoidedInstances.create(parts.timers);
    this.recentlyLate = AvoidedInstances.create(parts.timers);
  }

  static create(parts: Parts): StageOwners {
    return new StageOwners(parts);
  }

  /** Whether this instance is about to stop, or reaches no upstream, and submits to other owners. */
  get leaving(): boolean {
    return this.isLeaving || this.isSuspended;
  }

  /** Removes this instance from the candidates for a time, while other instances are alive. */
  suspend(suspended: boolean): void {
    this.isSuspended = suspended;
    this.assignedAtMs = -Infinity;
  }

  /** Removes this instance from the candidates while other instances are alive. */
  leave(): void {
    this.isLeaving = true;
    this.assignedAtMs = -Infinity;
  }

  /**
   * Records a late answer; a second one in a short time makes the instance unreachable. After the
   * first, all submitters would turn to a second owner whenever an instance with a third of a core
   * blocks for half a second to read a configuration.
   */
  recordLateAnswer(instance: string): void {
    if (this.recentlyLate.has(instance)) this.unreachable.add(instance);
    this.recentlyLate.add(instance);
  }

  /** Skips an instance for some time. */
  markUnreachable(instance: string): void {
    this.unreachable.add(instance);
  }

  /**
   * Owners for a request in the order in which to try them. `previous`, an owner that has accepted
   * the submission before, comes first while it is reachable.
   */
  ownersFor(service: string, attemptId: string, previous?: string): readonly string[] {
    const upstreams = this.parts.directory.forService(service).length;
    return this.ownersForShard(service, shardOf(attemptId, upstreams), previous);
  }

  /** Owners for all requests of a shard; see `ownersFor`. */
  ownersForShard(service: string, shard: number, previous?: string): readonly string[] {
    const { self, timers } = this.parts;
    if (timers.now() - this.assignedAtMs >= ASSIGNMENT_INTERVAL_MS) this.assign();
    const pool = `${service}/${shard}`;
    const assigned = this.assigned.get(pool) ?? assignOwners([pool], this.candidates).get(pool);
    const reachable = (id: string): boolean =>
      id === self || (this.alive.has(id) && !this.unreachable.has(id));
    const ordered = (assigned ?? []).filter(reachable);
    const first = previous !== undefined && reachable(previous) ? [previous] : [];
    return [...first, ...ordered.filter((id) => id !== previous)].slice(0, MAX_OWNERS);
  }

  private assign(): void {
    const { self, incarnation, cores, members, timers } = this.parts;
    const alive = aliveMembers(members);
    const own = this.leaving && alive.length > 0 ? [] : [{ id: self, incarnation, cores }];
    const all = withAssumedSizes(
      [...alive, ...own].map((each) => ({
        id: each.id,
        incarnation: each.incarnation,
        cores: each.cores,
      })),
    );
    this.alive = new Set(alive.map(({ id }) => id));
    this.candidates = largeInstances(this.withoutRecentStarts(all), MIN_CANDIDATES);
    this.assigned = assignOwners(this.pools(), this.candidates);
    this.assignedAtMs = timers.now();
    this.logOwnedPools();
  }

  /** Logs the pools of this instance when they change, with the inputs of the assignment. */
  private logOwnedPools(): void {
    const { self, cores, decisionLines } = this.parts;
    const pools = [...this.assigned].filter(([, [first]]) => first === self).map(([pool]) => pool);
    if (pools.join() === this.ownedPools.join()) return;
    this.ownedPools = pools;
    const candidates = this.candidates.length;
    decisionLines.write("stage calls owned", { pools, cores, candidates, alive: this.alive.size });
  }

  /** Pools of all configured stage services. */
  private pools(): string[] {
    const { routeView, directory } = this.parts;
    const services = [...(routeView.configuration?.services ?? [])];
    return services.flatMap(([name, { stage }]) => {
      const shards = stage === undefined ? 0 : shardCount(directory.forService(name).length);
      return Array.from({ length: shards }, (_, shard) => `${name}/${shard}`);
    });
  }

  /** The instances sorted by start, without those that started recently. */
  private withoutRecentStarts(all: readonly Candidate[]): Candidate[] {
    const now = this.parts.timers.now();
    this.knownStarts = new Map(
      all.map(({ id, incarnation }) => {
        const known = this.knownStarts.get(id);
        const same = known?.incarnation === incarnation;
        return [id, same ? known : { incarnation, firstSeenMs: now }];
      }),
    );
    const byAge = [...all].sort((a, b) => a.incarnation - b.incarnation || (a.id < b.id ? -1 : 1));
    const median = byAge[Math.floor((byAge.length - 1) / 2)]?.incarnation ?? 0;
    return byAge.filter(({ id, incarnation }, index) => {
      if (index < MIN_CANDIDATES || incarnation <= median + MAX_START_LAG_MS) return true;
      return now - (this.knownStarts.get(id)?.firstSeenMs ?? now) >= MIN_UPTIME_MS;
    });
  }
}
