import { aliveMembers } from "../peer/alive-members.js";
import { Distrust } from "../peer/distrust.js";
import type { Members } from "../peer/members.js";
import type { Timers } from "../time/timers.js";
import type { DecisionLines } from "./decision-lines.js";
import { largeInstances, type SizedInstance, withAssumedSizes } from "./instance-size.js";
import { assignOwners, MOST_OWNERS } from "./owner-assignment.js";
import type { RouteView } from "./route-view.js";
import { shardOf, shardsOf } from "./stage-shard.js";
import type { UpstreamDirectory } from "./upstream-directory.js";

/** Age up to which an assignment is used; short against the detection of a lost instance. */
const ASSIGNED_MS = 200;
/** Starts after the median one by more than this make an instance a late one; a restart in turn. */
const LATE_START_MS = 1_500;
/** Time after which a late start no longer matters; longer than a queue of stage work lasts. */
const SETTLED_MS = 10_000;
/** Fewest instances that may be owners, if there are as many. */
const LEAST_OWNERS = 4;

interface Candidate extends SizedInstance {
  /** Start time of the process in ms since the epoch. */
  readonly incarnation: number;
}

interface KnownStart {
  readonly incarnation: number;
  /** On the monotonic clock, in ms. */
  readonly sinceMs: number;
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
 * The instances that fill the calls of each service and shard. Answers the load pattern of instances
 * that are restarted in turn during a flood: an owner that has just started would take over from one
 * whose queue is full, and both would fill calls for the same upstreams. In a fleet of large and
 * small instances only large ones are owners: a small one answers the submissions of the whole fleet
 * later than their time limit, and each submitter then turns to another owner.
 */
export class StageOwners {
  private readonly silent: Distrust;
  /** Instances of which one answer was late. */
  private readonly slow: Distrust;
  private isLeaving = false;
  private alive: ReadonlySet<string> = new Set();
  private candidates: readonly Candidate[] = [];
  private assigned: ReadonlyMap<string, readonly string[]> = new Map();
  private assignedMs = -Infinity;
  /** Since when each instance is known with its present start. */
  private known: ReadonlyMap<string, KnownStart> = new Map();
  /** Pools of which this instance was the first owner at the last assignment. */
  private owned: readonly string[] = [];

  private constructor(private readonly parts: Parts) {
    this.silent = Distrust.create(parts.timers);
    this.slow = Distrust.create(parts.timers);
  }

  static create(parts: Parts): StageOwners {
    return new StageOwners(parts);
  }

  /** Whether this instance gives its submissions to others, as it is about to stop. */
  get leaving(): boolean {
    return this.isLeaving;
  }

  /** Keeps this instance from being an owner while there are others. */
  leave(): void {
    this.isLeaving = true;
    this.assignedMs = -Infinity;
  }

  /**
   * Notes an answer that did not come in time; the second one in a short time counts as no answer.
   * An instance with a third of a core is silent for half a second while it reads a configuration,
   * and all submitters would hand its queue to a second owner.
   */
  late(instance: string): void {
    if (this.slow.has(instance)) this.silent.add(instance);
    this.slow.add(instance);
  }

  /** Passes over an instance that did not answer, for some time. */
  distrust(instance: string): void {
    this.silent.add(instance);
  }

  /**
   * Instances in the order in which they should fill the calls for a request. An owner that has
   * accepted its pieces before stays the first while it can be reached.
   */
  of(service: string, attemptId: string, previous?: string): readonly string[] {
    const upstreams = this.parts.directory.forService(service).length;
    return this.ofShard(service, shardOf(attemptId, upstreams), previous);
  }

  /** The same for all requests of a shard. */
  ofShard(service: string, shard: number, previous?: string): readonly string[] {
    const { self, timers } = this.parts;
    if (timers.now() - this.assignedMs >= ASSIGNED_MS) this.assign();
    const pool = `${service}/${shard}`;
    const assigned = this.assigned.get(pool) ?? assignOwners([pool], this.candidates).get(pool);
    const reachable = (id: string): boolean =>
      id === self || (this.alive.has(id) && !this.silent.has(id));
    const ordered = (assigned ?? []).filter(reachable);
    const first = previous !== undefined && reachable(previous) ? [previous] : [];
    return [...first, ...ordered.filter((id) => id !== previous)].slice(0, MOST_OWNERS);
  }

  private assign(): void {
    const { self, incarnation, cores, members, timers } = this.parts;
    const alive = aliveMembers(members);
    const own = this.isLeaving && alive.length > 0 ? [] : [{ id: self, incarnation, cores }];
    const all = withAssumedSizes(
      [...alive, ...own].map((each) => ({
        id: each.id,
        incarnation: each.incarnation,
        cores: each.cores,
      })),
    );
    this.alive = new Set(alive.map(({ id }) => id));
    this.candidates = largeInstances(this.settled(all), LEAST_OWNERS);
    this.assigned = assignOwners(this.pools(), this.candidates);
    this.assignedMs = timers.now();
    this.noteOwned();
  }

  /** Logs the pools of this instance when they change, and what they were chosen by. */
  private noteOwned(): void {
    const { self, cores, decisionLines } = this.parts;
    const pools = [...this.assigned].filter(([, [first]]) => first === self).map(([pool]) => pool);
    if (pools.join() === this.owned.join()) return;
    this.owned = pools;
    const candidates = this.candidates.length;
    decisionLines.write("stage calls owned", { pools, cores, candidates, alive: this.alive.size });
  }

  /** The pools of all stage services that are configured. */
  private pools(): string[] {
    const { routeView, directory } = this.parts;
    const services = [...(routeView.configuration?.services ?? [])];
    return services.flatMap(([name, { stage }]) => {
      const shards = stage === undefined ? 0 : shardsOf(directory.forService(name).length);
      return Array.from({ length: shards }, (_, shard) => `${name}/${shard}`);
    });
  }

  /** The instances that did not start later than most others, or some time ago. */
  private settled(all: readonly Candidate[]): Candidate[] {
    const now = this.parts.timers.now();
    this.known = new Map(
      all.map(({ id, incarnation }) => {
        const known = this.known.get(id);
        const same = known?.incarnation === incarnation;
        return [id, same ? known : { incarnation, sinceMs: now }];
      }),
    );
    const byAge = [...all].sort((a, b) => a.incarnation - b.incarnation || (a.id < b.id ? -1 : 1));
    const median = byAge[Math.floor((byAge.length - 1) / 2)]?.incarnation ?? 0;
    return byAge.filter(({ id, incarnation }, at) => {
      if (at < LEAST_OWNERS || incarnation <= median + LATE_START_MS) return true;
      return now - (this.known.get(id)?.sinceMs ?? now) >= SETTLED_MS;
    });
  }
}
