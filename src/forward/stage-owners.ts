import { rendezvousMember } from "../order/rendezvous.js";
import { MemberState } from "../peer/member-state.js";
import type { Members } from "../peer/members.js";
import type { Timers } from "../time/timers.js";
import { shardOf } from "./stage-shard.js";
import type { UpstreamDirectory } from "./upstream-directory.js";

/** Time for which an instance that did not answer gets no submissions. */
const DISTRUST_MS = 2_000;
/** Other instances that are tried before this one fills the calls itself. */
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
  private readonly distrustedUntil = new Map<string, number>();
  /** Times of the last late answers, by instance. */
  private readonly lateMs = new Map<string, number>();
  private retired = false;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): StageOwners {
    return new StageOwners(parts);
  }

  /** Whether this instance gives its submissions to others, as it is about to stop. */
  get leaving(): boolean {
    return this.retired;
  }

  /** Keeps this instance from being an owner while there are others. */
  retire(): void {
    this.retired = true;
  }

  /**
   * Notes an answer that did not come in time; the second one in a short time counts as no answer.
   * An instance with a third of a core is silent for half a second while it reads a configuration,
   * and all submitters would hand its queue to a second owner.
   */
  late(instance: string): void {
    const now = this.parts.timers.now();
    const again = now - (this.lateMs.get(instance) ?? -Infinity) < DISTRUST_MS;
    this.lateMs.set(instance, now);
    if (again) this.distrust(instance);
  }

  /** Passes over an instance that did not answer, for some time. */
  distrust(instance: string): void {
    this.distrustedUntil.set(instance, this.parts.timers.now() + DISTRUST_MS);
  }

  /**
   * Instances in the order in which they should fill the calls for a request. An owner that has
   * accepted its pieces before stays the first while it can be reached.
   */
  of(service: string, attemptId: string, previous?: string): string[] {
    const { directory } = this.parts;
    let candidates = this.candidates();
    const key = `${service}/${shardOf(attemptId, directory.serving(service).length)}`;
    const ordered = previous !== undefined && this.reachable().includes(previous) ? [previous] : [];
    while (ordered.length < MOST_OWNERS) {
      candidates = candidates.filter((each) => !ordered.includes(each));
      const next = rendezvousMember(key, candidates);
      if (next === undefined) break;
      ordered.push(next);
    }
    return ordered;
  }

  private candidates(): string[] {
    const { self, incarnation, members } = this.parts;
    const reachable = new Set(this.reachable());
    const own = this.retired && reachable.size > 0 ? [] : [{ id: self, incarnation }];
    const all = [...members.all().filter(({ id }) => reachable.has(id)), ...own];
    all.sort((a, b) => a.incarnation - b.incarnation || (a.id < b.id ? -1 : 1));
    const count = Math.max(LEAST_OWNERS, Math.ceil(OLDER_PART * all.length));
    return all.slice(0, count).map(({ id }) => id);
  }

  private reachable(): string[] {
    const { members, timers } = this.parts;
    const now = timers.now();
    return members
      .all()
      .filter(({ id, state }) => {
        return state === MemberState.Alive && (this.distrustedUntil.get(id) ?? 0) <= now;
      })
      .map(({ id }) => id);
  }
}
