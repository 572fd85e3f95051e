import type { ConsolaInstance } from "consola";
import { DecisionLines } from "../../src/forward/decision-lines.js";
import { ForwardMetrics } from "../../src/forward/forward-metrics.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import type { UpstreamEntry } from "../../src/forward/upstream-entry.js";
import type { UpstreamHealth } from "../../src/forward/upstream-health.js";
import { UpstreamHealthRegistry } from "../../src/forward/upstream-health-registry.js";
import { UpstreamStatements } from "../../src/forward/upstream-statements.js";
import { LimitGrants } from "../../src/limit/limit-grants.js";
import { LimitKnowledge } from "../../src/limit/limit-knowledge.js";
import { LimitOwners } from "../../src/limit/limit-owners.js";
import { UpstreamPermits } from "../../src/limit/upstream-permits.js";
import { MemberState } from "../../src/peer/member-state.js";
import type { Member } from "../../src/peer/member.js";
import type { Members } from "../../src/peer/members.js";
import type { ManualTimers } from "../../src/time/manual-timers.js";
import { FreezableTimers } from "../../standin/freezable-timers.js";
import type { RouteView } from "../../src/forward/route-view.js";
import { ColdUpstreams } from "../../src/warmup/cold-upstreams.js";
import type { WarmupBounds } from "../../src/warmup/warmup-bounds.js";
import { WarmupGrants } from "../../src/warmup/warmup-grants.js";
import { WarmupPermits } from "../../src/warmup/warmup-permits.js";
import type { LimitNetwork } from "./limit-network.js";

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** What bounds the requests to cold upstreams. */
export interface Warmup {
  readonly warmupBounds: WarmupBounds | undefined;
  readonly routeView: Pick<RouteView, "configuration">;
}

const NO_WARMUP: Warmup = { warmupBounds: undefined, routeView: { configuration: undefined } };

/** The parts of one instance that keep the limits of upstreams. */
export class LimitInstance {
  readonly lines: LogFields[] = [];
  readonly timers: FreezableTimers;
  readonly upstreamPermits: UpstreamPermits;
  readonly statements: UpstreamStatements;
  readonly owners: LimitOwners;
  readonly grants: LimitGrants;
  readonly warmupPermits: WarmupPermits;
  readonly coldUpstreams: ColdUpstreams;
  readonly directory: UpstreamDirectory;
  readonly upstreamHealth: UpstreamHealthRegistry;
  /** Times of the ends of evacuations by data centre. */
  readonly evacuationEnds = new Map<string, number>();
  /** Time as of which this instance knows the rows. */
  rowsReadMs = -Infinity;
  private readonly states = new Map<string, MemberState>();
  private readonly memberHandlers: ((member: Member) => void)[] = [];
  private readonly pauseHandlers: ((lengthMs: number) => void)[] = [];

  private constructor(
    readonly id: string,
    clock: ManualTimers,
    network: LimitNetwork,
    readonly incarnation: number,
    warmup: Warmup,
  ) {
    this.timers = FreezableTimers.create(clock);
    const { timers } = this;
    this.directory = UpstreamDirectory.create({ timers });
    this.upstreamHealth = UpstreamHealthRegistry.create({ timers, directory: this.directory });
    const log = { info: (line: LogFields) => this.lines.push(line), warn: () => undefined };
    const shared = {
      timers,
      self: id,
      incarnation,
      cores: 1,
      members: this.members,
      pauses: {
        subscribe: (handler: (lengthMs: number) => void) => {
          this.pauseHandlers.push(handler);
          return { cancel: () => undefined };
        },
      },
      peerCalls: network.callsOf(id),
      peerMethods: network.methodsOf(id),
      updates: network.updatesOf(id),
      directory: this.directory,
      upstreamHealth: this.upstreamHealth,
      decisionLines: DecisionLines.create({ log: log as unknown as ConsolaInstance, timers }),
      forwardMetrics: ForwardMetrics.create(),
    };
    this.owners = LimitOwners.create(shared);
    this.grants = LimitGrants.create({ ...shared, limitOwners: this.owners });
    this.coldUpstreams = ColdUpstreams.create({
      ...{ ...shared, ...warmup },
      storeView: this.rows,
      evacuationEnds: { endedMs: (dataCentre) => this.evacuationEnds.get(dataCentre) },
    });
    const { coldUpstreams } = this;
    const owned = { ...shared, coldUpstreams, limitOwners: this.owners };
    const warmupGrants = WarmupGrants.create(owned);
    this.warmupPermits = WarmupPermits.create({ ...owned, warmupGrants });
    const { grants: limitGrants, warmupPermits } = this;
    const parts = { ...owned, limitGrants, warmupPermits };
    this.upstreamPermits = UpstreamPermits.create(parts);
    const limitKnowledge = LimitKnowledge.create(parts);
    limitKnowledge.start();
    warmupGrants.start();
    const brittleUpstreams = { recordResponse: () => undefined };
    this.statements = UpstreamStatements.create({ ...parts, limitKnowledge, brittleUpstreams });
  }

  static create(
    id: string,
    clock: ManualTimers,
    network: LimitNetwork,
    incarnation = 1,
    warmup: Warmup = NO_WARMUP,
  ): LimitInstance {
    return new LimitInstance(id, clock, network, incarnation, warmup);
  }

  list(entry: UpstreamEntry): void {
    this.directory.apply([[entry.id, entry]], 0);
  }

  healthOf(upstream: string): UpstreamHealth {
    return this.upstreamHealth.of(upstream);
  }

  /** Sets the state in which this instance sees another one; undefined forgets it. */
  see(id: string, state: MemberState | undefined, incarnation = 1): void {
    if (state === undefined) this.states.delete(id);
    else this.states.set(id, state);
    const member = { ...memberOf(id, state ?? MemberState.Dead), incarnation };
    for (const handler of this.memberHandlers) handler(member);
  }

  freeze(): void {
    this.timers.freeze();
  }

  /** Wakes the process up; it notices the pause first. */
  thaw(pausedMs: number): void {
    for (const handler of this.pauseHandlers) handler(pausedMs);
    this.timers.thaw();
  }

  private get rows(): { upstreamsAgeMs: number } {
    const ageMs = (): number => this.timers.now() - this.rowsReadMs;
    return {
      get upstreamsAgeMs() {
        return ageMs();
      },
    };
  }

  private get members(): Members {
    return {
      self: this.id,
      all: () => [...this.states].map(([id, state]) => memberOf(id, state)),
      find: () => undefined,
      subscribe: (handler) => {
        this.memberHandlers.push(handler);
        return { cancel: () => undefined };
      },
    };
  }
}

function memberOf(id: string, state: MemberState): Member {
  const peerAddress = `http://${id}`;
  return { id, state, incarnation: 1, dataCentre: "a", peerAddress, cores: 1 };
}
