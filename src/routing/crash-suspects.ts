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

/** How long a content must run alone after a crash. */
const SUSPICION_TTL_MS = 60_000;
/** Far above usual resend intervals, as a resend after expiry crashes another upstream. */
const CONVICTION_TTL_MS = 3_600_000;
/** Within this time, instances that claim the same trial concurrently receive each other's claims. */
const CLAIM_PROPAGATION_MS = 200;
const MAX_CONVICTIONS = 4_096;
const RETRY_AFTER_MS = 1_000;

interface Conviction {
  readonly expiresAt: number;
  /** Whether this instance convicted; it resends the conviction to instances that missed it. */
  readonly issuedHere: boolean;
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
  private readonly convictions = new LRUCache<string, Conviction>({ max: MAX_CONVICTIONS });
  private readonly runningAttempts = RunningAttempts.create();
  private readonly instanceId: string;

  private constructor(private readonly parts: Parts) {
    this.suspicions = SuspicionTable.create(parts.timers);
    this.instanceId = parts.settings.instance.id;
  }

  static create(parts: Parts): CrashSuspects {
    return new CrashSuspects(parts);
  }

  /** Subscribes to the updates of other instances. */
  start(): void {
    this.parts.updates.subscribe((update) => {
      this.applyUpdate(update);
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
    if (blockedMs > 0) throw suspectedError(blockedMs);
    if (suspicion.trial !== undefined) throw suspectedError(RETRY_AFTER_MS);
    return true;
  }

  /**
   * Claims the trial of a suspect on an upstream for at most `maxMs`. Resolves with false if the
   * upstream is in use by another trial; throws `RequestSuspected` if the content is on trial
   * elsewhere, and the signal's reason when it aborts.
   */
  async claim(
    content: RequestContent,
    service: string,
    upstream: string,
    maxMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (!this.mustRunAlone(content, service)) return true;
    if (this.suspicions.lowestContender(content, upstream) !== undefined) return false;
    const expiresAt = this.parts.timers.now() + maxMs;
    const trial = { instance: this.instanceId, upstream, expiresAt };
    this.suspicions.startTrial(content, trial);
    this.publishSuspicion(content);
    try {
      await this.parts.timers.sleep(CLAIM_PROPAGATION_MS, signal);
      this.checkConviction(content);
      const blockedMs =
        (this.suspicions.find(content)?.blockedUntil ?? 0) - this.parts.timers.now();
      if (blockedMs > 0) throw suspectedError(blockedMs);
    } catch (error) {
      this.releaseTrial(content);
      throw error;
    }
    const suspicion = this.suspicions.find(content);
    if (suspicion !== undefined && suspicion.trial !== trial) throw suspectedError(RETRY_AFTER_MS);
    const contender = this.suspicions.lowestContender(content, upstream);
    if (contender === undefined || contender > this.instanceId) return true;
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
    const controller = new AbortController();
    const attempt = {
      content,
      service,
      upstream,
      alone,
      abort: () => {
        controller.abort(suspectedError(RETRY_AFTER_MS));
      },
    };
    this.runningAttempts.add(attempt);
    return {
      signal: controller.signal,
      end: (failure) => {
        if (!this.runningAttempts.delete(attempt)) return;
        if (failure === undefined) this.acquit(content, service);
        else if (failure.kind === ErrorKind.UpstreamCrashed && !failure.undispatched) {
          if (alone && this.holdsTrial(content)) this.convict(content);
          else this.suspect(content, service, upstream);
          for (const otherAttempt of this.runningAttempts.onUpstream(upstream)) {
            this.suspect(otherAttempt.content, service, upstream);
          }
        } else if (alone) this.releaseTrial(content);
      },
    };
  }

  /** Ends the trial that this instance holds, if any, without a verdict. */
  releaseTrial(content: RequestContent): void {
    const heldTrial = this.suspicions.find(content)?.trial;
    if (heldTrial?.instance !== this.instanceId) return;
    const trial = { ...heldTrial, expiresAt: this.parts.timers.now() };
    this.suspicions.startTrial(content, trial);
    this.publishSuspicion(content);
    this.suspicions.endTrial(content);
  }

  private checkConviction(content: RequestContent): void {
    const conviction = this.convictions.get(contentKey(content));
    if (conviction === undefined || conviction.expiresAt <= this.parts.timers.now()) return;
    throw ServeError.create(
      ErrorKind.RequestConvicted,
      "earlier requests with this content crashed several upstreams",
    );
  }

  private suspect(content: RequestContent, service: string, upstream: string): void {
    const fields = { service, upstreams: [upstream], expiresMs: SUSPICION_TTL_MS, blockedMs: 0 };
    if (!this.suspicions.recordCrashes(content, fields)) return;
    this.runningAttempts.abortShared(content, upstream);
    this.publishSuspicion(content);
  }

  private convict(content: RequestContent): void {
    const expiresAt = this.parts.timers.now() + CONVICTION_TTL_MS;
    this.convictions.set(contentKey(content), { expiresAt, issuedHere: true });
    this.suspicions.delete(content);
    this.runningAttempts.abortShared(content);
    this.publishConviction(content, expiresAt);
  }

  private holdsTrial(content: RequestContent): boolean {
    return this.suspicions.find(content)?.trial?.instance === this.instanceId;
  }

  private acquit(content: RequestContent, service: string): void {
    if (this.suspicions.find(content)?.service !== service) return;
    this.suspicions.delete(content);
    const { team, contentDigest } = content;
    this.parts.updates.publish({ kind: "crash-acquittal", team, contentDigest });
  }

  private publishSuspicion({ team, contentDigest }: RequestContent): void {
    const fields = this.suspicions.updateFields({ team, contentDigest });
    if (fields === undefined) return;
    this.parts.updates.publish({ kind: "crash-suspicion", team, contentDigest, ...fields });
  }

  private publishConviction({ team, contentDigest }: RequestContent, expiresAt: number): void {
    const expiresMs = expiresAt - this.parts.timers.now();
    this.parts.updates.publish({ kind: "crash-conviction", team, contentDigest, expiresMs });
  }

  private applyUpdate(update: Update): void {
    switch (update.kind) {
      case "configuration":
      case "upstream-limits":
      case "cold-upstreams":
      case "upstream-full":
      case "version-plan":
      case "part-crash":
      case "part-acquittal":
      case "part-conviction":
        return;
      case "crash-acquittal":
        this.suspicions.delete(update);
        return;
      case "crash-conviction": {
        const expiresAt = this.parts.timers.now() + Math.min(update.expiresMs, CONVICTION_TTL_MS);
        const known = this.convictions.get(contentKey(update));
        if ((known?.expiresAt ?? 0) < expiresAt) {
          this.convictions.set(contentKey(update), { expiresAt, issuedHere: false });
        }
        this.suspicions.delete(update);
        this.runningAttempts.abortShared(update);
        return;
      }
      case "crash-suspicion":
        this.applySuspicion(update);
    }
  }

  private applySuspicion(update: Extract<Update, { kind: "crash-suspicion" }>): void {
    const conviction = this.convictions.get(contentKey(update));
    if (conviction !== undefined && conviction.expiresAt > this.parts.timers.now()) {
      if (conviction.issuedHere) this.publishConviction(update, conviction.expiresAt);
      return;
    }
    this.suspicions.recordCrashes(update, update);
    if (update.trial !== undefined) this.suspicions.applyRemoteTrial(update, update.trial);
    for (const upstream of update.upstreams) this.runningAttempts.abortShared(update, upstream);
  }
}

function suspectedError(retryAfterMs: number): ServeError {
  const detail = "a request with this content was in progress on an upstream that crashed";
  return ServeError.create(ErrorKind.RequestSuspected, detail, { retryAfterMs });
}
