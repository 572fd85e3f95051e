import { stageCostMs } from "../admission/stage-cost.js";
import type { Work } from "../admission/work.js";
import type { Service, Stage } from "../configuration/configuration-document.js";
import { UpstreamState } from "../configuration/upstream-state.js";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { HeldSlot } from "./held-slot.js";
import type { ServeRequest } from "./serve-request.js";
import type { StageParts } from "./stage-parts.js";

/** Number of unusable slots, such as those of leaving upstreams, after which a stage fails. */
const MAX_STALE_SLOTS = 8;
/** Wait between attempts to claim the trial of a suspect; about the length of a short stage. */
const TRIAL_RETRY_INTERVAL_MS = 100;

/** Acquires upstreams for the attempts of one stage of one request. */
export class StageSlots {
  private readonly excluded = new Set<string>();
  private staleSlots = 0;

  private constructor(
    private readonly parts: StageParts,
    private readonly request: ServeRequest,
    private readonly stage: Stage,
    private readonly service: Service,
  ) {}

  static create(
    parts: StageParts,
    request: ServeRequest,
    stage: Stage,
    service: Service,
  ): StageSlots {
    return new StageSlots(parts, request, stage, service);
  }

  /** Excludes an upstream from later attempts. */
  exclude(upstream: string): void {
    this.excluded.add(upstream);
  }

  /**
   * Waits for a slot that may be used. Releases slots of upstreams that the current configuration
   * marks as leaving, and shared slots if the content became suspect during the wait; then it
   * tries again. Throws `NoUpstream` after too many such slots.
   */
  async acquireForAttempt(prompt: string, signal: AbortSignal): Promise<HeldSlot> {
    const { pools, crashSuspects, timers } = this.parts;
    const { request } = this;
    const { name } = this.service;
    for (;;) {
      const alone = crashSuspects.mustRunAlone(request, name);
      const slot = await pools.of(name).acquire(this.work(prompt, alone), signal);
      const { id } = slot.upstream;
      let usable = false;
      try {
        if (!this.isActive(id)) this.excluded.add(id);
        else if (!alone) usable = !crashSuspects.mustRunAlone(request, name);
        else {
          const leftMs = request.deadline - timers.now();
          const claimed = await crashSuspects.claim(request, name, id, leftMs, signal);
          // The configuration may have changed while the claim was broadcast.
          usable = claimed && this.isActive(id);
          if (claimed && !usable) crashSuspects.releaseTrial(request);
        }
      } finally {
        if (!usable) slot.release({ kind: "cancelled" });
      }
      if (usable) return { ...slot, alone };
      if (alone) {
        // Trials of other suspects end soon; the deadline bounds the wait.
        await timers.sleep(TRIAL_RETRY_INTERVAL_MS, signal);
        continue;
      }
      this.staleSlots += 1;
      if (this.staleSlots > MAX_STALE_SLOTS) {
        throw ServeError.create(
          ErrorKind.NoUpstream,
          `all chosen upstreams of stage ${this.stage.name} are leaving`,
        );
      }
    }
  }

  /** Acquires a second slot after `delayMs`; throws if the attempt on `slot` may not be hedged. */
  async acquireForHedge(
    slot: HeldSlot,
    prompt: string,
    delayMs: number,
    stop: AbortSignal,
  ): Promise<HeldSlot> {
    const { timers, hedges, pools } = this.parts;
    const { name } = this.service;
    await timers.sleep(delayMs, stop);
    if (this.isSuspect() || !hedges.takeHedge()) throw notHedgedError();
    const excluded = new Set([...this.excluded, slot.upstream.id]);
    const work = { ...this.work(prompt, false), excluded };
    const second = await pools.of(name).acquire(work, stop);
    if (this.isActive(second.upstream.id) && !stop.aborted && !this.isSuspect()) {
      return { ...second, alone: false };
    }
    second.release({ kind: "cancelled" });
    throw notHedgedError();
  }

  private isActive(id: string): boolean {
    const { configuration } = this.parts.configurationView;
    const upstreams = configuration?.upstreamsOf(this.service.name) ?? [];
    return upstreams.some((one) => one.id === id && one.state === UpstreamState.Active);
  }

  private isSuspect(): boolean {
    try {
      return this.parts.crashSuspects.mustRunAlone(this.request, this.service.name);
    } catch {
      return true;
    }
  }

  private work(prompt: string, exclusive: boolean): Work {
    const { request } = this;
    return {
      request: request.id,
      team: request.team,
      className: request.workClass.name,
      rank: request.workClass.rank,
      stage: this.stage.name,
      costMs: stageCostMs(this.service.kind, request.input),
      deadline: request.deadline,
      prompt,
      contentDigest: request.contentDigest,
      excluded: this.excluded,
      exclusive,
    };
  }
}

function notHedgedError(): ServeError {
  return ServeError.create(ErrorKind.Cancelled, "the attempt is not hedged");
}
