import { SentKind } from "../../src/forward/upstream-statements.js";
import { MemberState } from "../../src/peer/member-state.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { entryOf } from "./forward-samples.js";
import { LimitInstance } from "./limit-instance.js";
import { LimitNetwork } from "./limit-network.js";

/** The upstream of all instances. */
export const UPSTREAM = entryOf({ id: "u", startedMs: 1 });
const MS_PER_SECOND = 1_000;
const SERVICE_MS = 50;
const SETTLE_MS = 3_000;
/** Small seeds give extreme first draws. */
const SEED = 0x9e3779b1;
/** Longest wait of a request for a permit, in ms. */
const MAX_WAIT_MS = 3_000;

/** A request that reached the upstream. */
export interface LimitedArrival {
  readonly atMs: number;
  readonly from: string;
  readonly rank: number;
  readonly team: string;
  /** Whether the sender knew of a limit. */
  readonly told: boolean;
}

/** Load on the fleet; requests are spread over the instances at random. */
export interface LimitLoad {
  readonly perSecond: number;
  readonly seconds: number;
  readonly rank?: number;
  readonly team?: string;
  readonly maxWaitMs?: number;
}

/** Instances before one upstream that states a limit, on a manual clock. */
export class LimitFleet {
  readonly timers = ManualTimers.create();
  readonly arrivals: LimitedArrival[] = [];
  readonly instances: LimitInstance[] = [];
  readonly network: LimitNetwork;
  /** Requests by rank that got no permit. */
  readonly refused = new Map<number, number>();
  /** Requests by team. */
  readonly asked = new Map<string, number>();
  /** Instances that send nothing. */
  readonly silent = new Set<string>();
  /** Limit that the upstream states, in requests per second. */
  perSecond: number | undefined;
  private readonly random = RandomSource.create(SEED);

  private constructor() {
    this.network = LimitNetwork.create(this.timers, this.random);
  }

  /** Resolves when the instances have been running for some seconds. */
  static async create(count: number): Promise<LimitFleet> {
    const fleet = new LimitFleet();
    for (let at = 0; at < count; at += 1) fleet.start(`i${at}`);
    await fleet.timers.advance(SETTLE_MS);
    return fleet;
  }

  /** Starts an instance that all others see; an earlier process of that id has ended. */
  start(id: string, incarnation = 1): LimitInstance {
    this.end(id);
    const instance = LimitInstance.create(id, this.timers, this.network, incarnation);
    instance.list(UPSTREAM);
    for (const other of this.instances) {
      other.see(id, MemberState.Alive, incarnation);
      instance.see(other.id, MemberState.Alive, other.incarnation);
    }
    this.instances.push(instance);
    return instance;
  }

  /** Ends an instance without notice. */
  end(id: string): void {
    const at = this.instances.findIndex((each) => each.id === id);
    if (at < 0) return;
    this.instances.splice(at, 1);
    this.network.remove(id);
  }

  /** How all other instances see one. */
  seeAs(id: string, state: MemberState): void {
    for (const other of this.instances) if (other.id !== id) other.see(id, state);
  }

  find(id: string): LimitInstance {
    const instance = this.instances.find((each) => each.id === id);
    if (instance === undefined) throw new Error(`no instance "${id}"`);
    return instance;
  }

  get owner(): LimitInstance {
    const [first] = this.instances;
    if (first === undefined) throw new Error("there are no instances");
    return this.find(first.owners.ownerOf(UPSTREAM.id));
  }

  /** Sends requests at random times; returns before they have ended. */
  load({ perSecond, seconds, rank = 0, team = "t", maxWaitMs = MAX_WAIT_MS }: LimitLoad): void {
    const endMs = this.timers.now() + seconds * MS_PER_SECOND;
    const next = (): void => {
      this.timers.after(this.random.exponential(MS_PER_SECOND / perSecond), () => {
        if (this.timers.now() >= endMs) return;
        const instance = this.instances[this.random.below(this.instances.length)];
        if (instance !== undefined && !this.silent.has(instance.id))
          void this.send(instance, { rank, team, maxWaitMs });
        next();
      });
    };
    next();
  }

  /** The most requests of instances that knew of the limit in any span of a length from a time on. */
  mostWithin(spanMs: number, fromMs = 0): number {
    const times = this.arrivals.flatMap(({ atMs, told }) => (told && atMs >= fromMs ? [atMs] : []));
    let most = 0;
    let first = 0;
    times.forEach((atMs, last) => {
      while ((times[first] ?? atMs) <= atMs - spanMs) first += 1;
      most = Math.max(most, last - first + 1);
    });
    return most;
  }

  countBetween(fromMs: number, toMs: number): number {
    return this.arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < toMs).length;
  }

  /** Sends one request and resolves when its response has been read; true if it was sent. */
  async send(
    instance: LimitInstance,
    {
      rank = 0,
      team = "t",
      maxWaitMs = MAX_WAIT_MS,
      serviceMs = SERVICE_MS,
    }: Partial<LimitLoad> & { serviceMs?: number } = {},
  ): Promise<boolean> {
    this.asked.set(team, (this.asked.get(team) ?? 0) + 1);
    const purpose = { rank, team, maxWaitMs, attempt: "a" };
    const outcome = await instance.upstreamPermits.acquire(UPSTREAM, purpose);
    const permit = outcome.kind === "granted" ? outcome.permit : undefined;
    const health = instance.healthOf(UPSTREAM.id);
    const told = health.statedLimit !== undefined;
    const allowed = outcome.kind !== "refused";
    if (!allowed || !instance.statements.trySend(UPSTREAM, health, SentKind.Request, permit)) {
      this.refused.set(rank, (this.refused.get(rank) ?? 0) + 1);
      return false;
    }
    this.arrivals.push({ atMs: this.timers.now(), from: instance.id, rank, team, told });
    const requestsPerSecond = this.perSecond;
    await instance.timers.sleep(serviceMs);
    const statements = {
      misdirected: false,
      leaving: false,
      toleratedRejections: undefined,
      stayAwayMs: 0,
      requestsPerSecond,
    };
    instance.statements.recordResponse(UPSTREAM, health, statements, permit);
    return true;
  }
}
