import type { Upstream } from "../configuration/configuration-document.js";
import { UpstreamState } from "../configuration/upstream-state.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { DecisionLog } from "../decision/decision-log.js";
import type { Estimate } from "./estimate.js";
import type { Pool } from "./pool.js";
import type { Slot } from "./slot.js";
import type { Work } from "./work.js";

const INITIAL_SERVICE_MS = 100;

/** A pool that sends work to the upstream with the fewest requests in flight. */
export class ServicePool implements Pool {
  private readonly inFlight = new Map<string, number>();

  private constructor(
    private readonly upstreams: () => readonly Upstream[],
    private readonly decisionLog: DecisionLog,
  ) {}

  static create(upstreams: () => readonly Upstream[], decisionLog: DecisionLog): ServicePool {
    return new ServicePool(upstreams, decisionLog);
  }

  acquire(work: Work, signal: AbortSignal): Promise<Slot> {
    if (signal.aborted) return Promise.reject(signal.reason as Error);
    const candidates = this.upstreams()
      .filter((upstream) => upstream.state === UpstreamState.Active)
      .filter((upstream) => !work.excluded.has(upstream.id))
      .map((upstream) => ({ upstream, load: this.inFlight.get(upstream.id) ?? 0 }))
      .sort((a, b) => a.load - b.load);
    const [first] = candidates;
    if (first === undefined) {
      return Promise.reject(
        ServeError.create(ErrorKind.NoUpstream, `no upstream for ${work.stage}`),
      );
    }
    this.log(work, candidates, first.upstream.id);
    return Promise.resolve(this.slot(first.upstream));
  }

  estimate(): Estimate {
    return { waitMs: 0, serviceMs: INITIAL_SERVICE_MS };
  }

  private slot(upstream: Upstream): Slot {
    this.add(upstream.id, 1);
    return {
      upstream,
      release: () => {
        this.add(upstream.id, -1);
      },
    };
  }

  private add(id: string, change: number): void {
    this.inFlight.set(id, (this.inFlight.get(id) ?? 0) + change);
  }

  private log(
    work: Work,
    candidates: readonly { upstream: Upstream; load: number }[],
    choice: string,
  ): void {
    const { request, team, className, stage } = work;
    this.decisionLog.write({
      kind: "route",
      request,
      team,
      className,
      stage,
      candidates: candidates.map(({ upstream, load }) => ({
        upstream: upstream.id,
        scoreMs: load,
      })),
      choice,
      reason: "fewest-in-flight",
    });
  }
}
