import { LRUCache } from "lru-cache";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { Update } from "../peer/update.js";
import type { Updates } from "../peer/updates.js";
import type { Settings } from "../settings/settings.js";
import type { Timers } from "../time/timers.js";
import { type RequestContent, contentKey } from "./request-content.js";
import { RunningAttempts } from "./running-attempts.js";
import { SuspicionTable } from "./suspicion-table.js";
import type { TrackedAttempt } from "./tracked-attempt.js";

/** Time for which a content runs alone after one crash. */
const SUSPICION_MS = 60_000;
/** A resend after this time costs an upstream again, so it is far above usual resend intervals. */
const CONVICTION_MS = 3_600_000;
/** Two instances that claim a trial at once learn of each other within this time. */
const SETTLE_MS = 200;
const MOST_CONVICTIONS = 4_096;
const RETRY_MS = 1_000;

interface Conviction {
  readonly until: number;
  /** Whether this instance convicted; it repeats the conviction to instances that missed it. */
  readonly own: boolean;
}

interface Parts {
  readonly timers: Timers;
  readonly updates: Updates;
  readonly settings: { readonly instance: Pick<Settings["instance"], "id"> };
}

/**
 * Attributes crashes of upstreams to the contents in progress there. A suspect content runs alone
 * on one upstream of the fleet at a time; a crash there convicts it on all instances.
 */
export class CrashSuspects {
  private readonly suspicions: SuspicionTable;
  private readonly convictions = new LRUCache<string, Conviction>({ max: MOST_CONVICTIONS });
  private readonly running = RunningAttempts.create();
  private readonly own: string;

  private constructor(private readonly parts: Parts) {
    this.suspicions = SuspicionTable.create(parts.timers);
    this.own = parts.settings.instance.id;
  }

  static create(parts: Parts): CrashSuspects {
    return new CrashSuspects(parts);
  }

  /** Begins to learn from other instances. */
  start(): void {
    this.parts.updates.subscribe((update) => {
      this.receive(update);
    });
  }

  /**
   * Throws `RequestConvicted`, or `RequestSuspected` if a request that needs one of the services
   * must not run now.
   */
  check(content: RequestContent, services: readonly string[]): void {
    this.checkConviction(content);
    for (const service of services) this.mustRunAlone(content, service);
  }

  /** Whether the content must run alone at the service; throws as `check` does. */
  mustRunAlone(content: RequestContent, service: string): boolean {
    this.checkConviction(content);
    const suspicion = this.suspicions.find(content);
    if (suspicion?.service !== service) return false;
    const blockedMs = suspicion.blockedUntil - this.parts.timers.now();
    if (blockedMs > 0) throw suspected(blockedMs);
    if (suspicion.trial !== undefined) throw suspected(RETRY_MS);
    return true;
  }

  /**
   * Claims the trial of a suspect on an upstream for at most `mostMs`. Resolves with false if the
   * upstream is in use by another trial; throws `RequestSuspected` if the content is on trial
   * elsewhere, and the signal's reason when it aborts.
   */
  async claim(
    content: RequestContent,
    service: string,
    upstream: string,
    mostMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (!this.mustRunAlone(content, service)) return true;
    if (this.suspicions.contender(content, upstream) !== undefined) return false;
    const until = this.parts.timers.now() + mostMs;
    const trial = { instance: this.own, upstream, until };
    this.suspicions.startTrial(content, trial);
    this.publishSuspicion(content);
    try {
      await this.parts.timers.sleep(SETTLE_MS, signal);
      this.checkConviction(content);
      const blockedMs =
        (this.suspicions.find(content)?.blockedUntil ?? 0) - this.parts.timers.now();
      if (blockedMs > 0) throw suspected(blockedMs);
    } catch (error) {
      this.releaseTrial(content);
      throw error;
    }
    const suspicion = this.suspicions.find(content);
    if (suspicion !== undefined && suspicion.trial !== trial) throw suspected(RETRY_MS);
    const contender = this.suspicions.contender(content, upstream);
    if (contender === undefined || contender > this.own) return true;
    this.releaseTrial(content);
    return false;
  }

  /** Records an attempt that is about to be dispatched. */
  track(
    content: RequestContent,
    service: string,
    upstream: string,
    alone: boolean,
  ): TrackedAttempt {
    const stop = new AbortController();
    const attempt = {
      content,
      service,
      upstream,
      alone,
      abort: () => {
        stop.abort(suspected(RETRY_MS));
      },
    };
    this.running.add(attempt);
    return {
      signal: stop.signal,
      end: (failure) => {
        if (!this.running.delete(attempt)) return;
        if (failure === undefined) this.acquit(content, service);
        else if (failure.kind === ErrorKind.UpstreamCrashed && !failure.undispatched) {
          if (alone && this.onTrial(content)) this.convict(content);
          else this.suspect(content, service, upstream);
          for (const other of this.running.on(upstream)) {
            this.suspect(other.content, service, upstream);
          }
        } else if (alone) this.releaseTrial(content);
      },
    };
  }

  /** Ends the trial of this instance, if it has one, without a finding. */
  releaseTrial(content: RequestContent): void {
    const held = this.suspicions.find(content)?.trial;
    if (held?.instance !== this.own) return;
    const trial = { ...held, until: this.parts.timers.now() };
    this.suspicions.startTrial(content, trial);
    this.publishSuspicion(content);
    this.suspicions.endTrial(content);
  }

  private checkConviction(content: RequestContent): void {
    const conviction = this.convictions.get(contentKey(content));
    if (conviction === undefined || conviction.until <= this.parts.timers.now()) return;
    throw ServeError.create(ErrorKind.RequestConvicted, "the content crashed several upstreams");
  }

  private suspect(content: RequestContent, service: string, upstream: string): void {
    const fields = { service, upstreams: [upstream], expiresMs: SUSPICION_MS, blockedMs: 0 };
    if (!this.suspicions.add(content, fields)) return;
    this.running.abortShared(content, upstream);
    this.publishSuspicion(content);
  }

  private convict(content: RequestContent): void {
    const until = this.parts.timers.now() + CONVICTION_MS;
    this.convictions.set(contentKey(content), { until, own: true });
    this.suspicions.delete(content);
    this.running.abortShared(content);
    this.publishConviction(content, until);
  }

  private onTrial(content: RequestContent): boolean {
    return this.suspicions.find(content)?.trial?.instance === this.own;
  }

  private acquit(content: RequestContent, service: string): void {
    if (this.suspicions.find(content)?.service !== service) return;
    this.suspicions.delete(content);
    const { team, contentDigest } = content;
    this.parts.updates.publish({ kind: "crash-acquittal", team, contentDigest });
  }

  private publishSuspicion({ team, contentDigest }: RequestContent): void {
    const fields = this.suspicions.fields({ team, contentDigest });
    if (fields === undefined) return;
    this.parts.updates.publish({ kind: "crash-suspicion", team, contentDigest, ...fields });
  }

  private publishConviction({ team, contentDigest }: RequestContent, until: number): void {
    const expiresMs = until - this.parts.timers.now();
    this.parts.updates.publish({ kind: "crash-conviction", team, contentDigest, expiresMs });
  }

  private receive(update: Update): void {
    switch (update.kind) {
      case "configuration":
        return;
      case "crash-acquittal":
        this.suspicions.delete(update);
        return;
      case "crash-conviction": {
        const until = this.parts.timers.now() + Math.min(update.expiresMs, CONVICTION_MS);
        const known = this.convictions.get(contentKey(update));
        if ((known?.until ?? 0) < until) {
          this.convictions.set(contentKey(update), { until, own: false });
        }
        this.suspicions.delete(update);
        this.running.abortShared(update);
        return;
      }
      case "crash-suspicion":
        this.receiveSuspicion(update);
    }
  }

  private receiveSuspicion(update: Extract<Update, { kind: "crash-suspicion" }>): void {
    const conviction = this.convictions.get(contentKey(update));
    if (conviction !== undefined && conviction.until > this.parts.timers.now()) {
      if (conviction.own) this.publishConviction(update, conviction.until);
      return;
    }
    this.suspicions.add(update, update);
    if (update.trial !== undefined) this.suspicions.learnTrial(update, update.trial);
    for (const upstream of update.upstreams) this.running.abortShared(update, upstream);
  }
}

function suspected(retryAfterMs: number): ServeError {
  const detail = "the content was in progress on an upstream that crashed";
  return ServeError.create(ErrorKind.RequestSuspected, detail, { retryAfterMs });
}
