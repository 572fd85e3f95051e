import { rendezvousMembers } from "../order/rendezvous.js";
import { aliveMembers } from "../peer/alive-members.js";
import { Distrust } from "../peer/distrust.js";
import type { Member } from "../peer/member.js";
import type { Members } from "../peer/members.js";
import type { Timers } from "../time/timers.js";
import { shardOf } from "./stage-shard.js";
import type { UpstreamDirectory } from "./upstream-directory.js";

/** Owners that are tried before this instance fills the calls itself. */
const MOST_OWNERS = 2;
/** Part of the live instances that may be owners: those that run the longest. */
const OLDER_PART = 0.5;
/** Fewest instances that may be owners, if there are as many. */
const LEAST_OWNERS = 4;

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  /** Start time of this process in ms since the epoch. */
  readonly incarnation: number;
  readonly members: Members;
  readonly directory: UpstreamDirectory;
}

/**
 * The instances that fill the calls of each service and shard. Answers the load pattern of instances
 * that are restarted in turn during a flood: an owner that has just started would take over from one
 * whose queue is full, and both would fill calls for the same upstreams.
 */
export class StageOwners {
  private readonly silent: Distrust;
  /** Instances of which one answer was late. */
  private readonly slow: Distrust;
  private isLeaving = false;

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
    const reachable = this.reachable();
    const key = `${service}/${shardOf(attemptId, this.parts.directory.serving(service).length)}`;
    const ordered = rendezvousMembers(key, this.candidates(reachable), MOST_OWNERS);
    if (previous === undefined || !reachable.some(({ id }) => id === previous)) return ordered;
    return [previous, ...ordered.filter((each) => each !== previous)].slice(0, MOST_OWNERS);
  }

  private candidates(reachable: readonly Member[]): string[] {
    const { self, incarnation } = this.parts;
    const own = this.isLeaving && reachable.length > 0 ? [] : [{ id: self, incarnation }];
    const all = [...reachable, ...own];
    all.sort((a, b) => a.incarnation - b.incarnation || (a.id < b.id ? -1 : 1));
    const count = Math.max(LEAST_OWNERS, Math.ceil(OLDER_PART * all.length));
    return all.slice(0, count).map(({ id }) => id);
  }

  private reachable(): Member[] {
    return aliveMembers(this.parts.members).filter(({ id }) => !this.silent.has(id));
  }
}
