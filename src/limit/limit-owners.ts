import { largeInstances, type SizedInstance, withAssumedSizes } from "../forward/instance-size.js";
import { rendezvousMember } from "../order/rendezvous.js";
import { MemberState } from "../peer/member-state.js";
import type { Members } from "../peer/members.js";
import type { Pauses } from "../time/pauses.js";
import type { Timers } from "../time/timers.js";

/** Age at which the view of the fleet is renewed; short compared with the detection of a loss. */
const VIEW_INTERVAL_MS = 200;
/** Time after a start or a pause in which others may still use the previous owner; a heartbeat. */
const SETTLE_MS = 2_500;
/** Fewest instances that may be owners, if there are as many. */
const MIN_CANDIDATES = 4;
/** Part of a limit that the deputy of a suspect owner grants, as that owner may be alive. */
const DEPUTY_FRACTION = 0.5;

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  /** Processor cores that this instance may use. */
  readonly cores: number;
  readonly members: Members;
  readonly pauses: Pauses;
}

interface View {
  /** Instances that may be owners. */
  readonly candidates: readonly string[];
  /** The same if suspect instances are alive. */
  readonly withSuspects: readonly string[];
  /** Part of a limit that the visible part of the fleet may use. */
  readonly fraction: number;
}

/**
 * The owner of each limit: the instance that grants its permits for the whole fleet, by rendezvous
 * hashing among the large instances. Instances may disagree on the owner for a while; the parts of
 * the limit that they grant then add up to at most one and a half times the limit:
 *
 * - The deputy of a suspect owner grants half of the limit.
 * - In a partition, a part of the fleet with more than half of the known instances grants the whole
 *   limit, and any other part its proportion.
 */
export class LimitOwners {
  private view: View = { candidates: [], withSuspects: [], fraction: 1 };
  private viewedMs = -Infinity;
  private settledMs = Infinity;
  private isLeaving = false;

  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): LimitOwners {
    return new LimitOwners(parts);
  }

  /** Must be called when the instance starts; it grants nothing before. */
  start(): void {
    const { timers, pauses } = this.parts;
    const settle = (): void => {
      this.settledMs = timers.now() + SETTLE_MS;
    };
    settle();
    pauses.subscribe(settle);
  }

  /** Time until this instance may grant permits, in ms; 0 unless it started or paused recently. */
  get settlesInMs(): number {
    return Math.max(0, this.settledMs - this.parts.timers.now());
  }

  /** Makes another instance the owner of each limit of this one, if there is another instance. */
  leave(): void {
    this.isLeaving = true;
    this.viewedMs = -Infinity;
  }

  ownerOf(upstream: string): string {
    return rendezvousMember(upstream, this.currentView().candidates) ?? this.parts.self;
  }

  /** Part of the limit that this instance grants; 0 if it is not the owner or not settled. */
  grantFraction(upstream: string): number {
    const { self } = this.parts;
    if (this.settlesInMs > 0 || this.ownerOf(upstream) !== self) return 0;
    const { withSuspects, fraction } = this.currentView();
    const deputy = rendezvousMember(upstream, withSuspects) !== self;
    return deputy ? Math.min(fraction, DEPUTY_FRACTION) : fraction;
  }

  private currentView(): View {
    const now = this.parts.timers.now();
    if (now - this.viewedMs >= VIEW_INTERVAL_MS) {
      this.view = this.renewedView();
      this.viewedMs = now;
    }
    return this.view;
  }

  private renewedView(): View {
    const { self, cores, members } = this.parts;
    const own = { id: self, cores, state: MemberState.Alive };
    const known = [own, ...members.all().filter(({ state }) => state !== MemberState.Leaving)];
    const alive = known.filter(({ state }) => state === MemberState.Alive);
    const suspects = known.filter(({ state }) => state === MemberState.Suspect);
    const isCandidate = ({ id }: SizedInstance): boolean => !(this.isLeaving && id === self);
    return {
      candidates: candidateIds(alive.filter(isCandidate)),
      withSuspects: candidateIds([...alive, ...suspects].filter(isCandidate)),
      fraction: alive.length > known.length / 2 ? 1 : alive.length / known.length,
    };
  }
}

function candidateIds(instances: readonly SizedInstance[]): string[] {
  return largeInstances(withAssumedSizes(instances), MIN_CANDIDATES).map(({ id }) => id);
}
