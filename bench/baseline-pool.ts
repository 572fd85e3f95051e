import type { Estimate } from "../src/admission/estimate.js";
import type { Pool } from "../src/admission/pool.js";
import type { Slot } from "../src/admission/slot.js";
import type { Work } from "../src/admission/work.js";
import type { Upstream } from "../src/configuration/configuration-document.js";
import type { RandomSource } from "../src/random/random-source.js";
import { Policy } from "./policy.js";

/** A pool without refusal, ranks and teams; first come first served also has a fixed limit. */
export class BaselinePool implements Pool {
  private readonly inFlight = new Map<string, number>();
  private readonly waiting: (() => void)[] = [];
  private total = 0;
  private turn = 0;

  private constructor(
    private readonly policy: Policy,
    private readonly upstreams: readonly Upstream[],
    private readonly limit: number,
    private readonly random: RandomSource,
  ) {}

  static create(
    policy: Policy,
    upstreams: readonly Upstream[],
    instances: number,
    random: RandomSource,
  ): BaselinePool {
    const slots = upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
    const limited = policy === Policy.FirstComeFirstServed;
    const limit = limited ? Math.max(1, Math.round(slots / instances)) : Number.POSITIVE_INFINITY;
    return new BaselinePool(policy, upstreams, limit, random);
  }

  acquire(work: Work): Promise<Slot> {
    return new Promise((resolve) => {
      const start = (): void => {
        resolve(this.slot(work));
      };
      if (this.total < this.limit) start();
      else this.waiting.push(start);
    });
  }

  estimate(): Estimate {
    return { waitMs: 0, waiting: 0, serviceMs: 0 };
  }

  private slot(work: Work): Slot {
    const upstream = this.choose(this.upstreams.filter(({ id }) => !work.excluded.has(id)));
    this.add(upstream.id, 1);
    return {
      upstream,
      release: () => {
        this.add(upstream.id, -1);
        if (this.total < this.limit) this.waiting.shift()?.();
      },
    };
  }

  private choose(upstreams: readonly Upstream[]): Upstream {
    const pick = this.index(upstreams);
    const upstream = upstreams[pick] ?? this.upstreams[0];
    if (upstream === undefined) throw new Error("the service has no upstream");
    return upstream;
  }

  private index(upstreams: readonly Upstream[]): number {
    if (upstreams.length === 0) return 0;
    if (this.policy === Policy.Random) return this.random.below(upstreams.length);
    if (this.policy === Policy.RoundRobin) return this.turn++ % upstreams.length;
    const loads = upstreams.map(({ id }) => this.inFlight.get(id) ?? 0);
    return loads.indexOf(Math.min(...loads));
  }

  private add(id: string, change: number): void {
    this.total += change;
    this.inFlight.set(id, (this.inFlight.get(id) ?? 0) + change);
  }
}
