import { LRUCache } from "lru-cache";
import type { Update } from "../peer/update.js";
import type { Timers } from "../time/timers.js";
import { type RequestContent, contentKey } from "./request-content.js";
import type { Suspicion } from "./suspicion.js";
import type { Trial } from "./trial.js";

/** Bounds memory; a crash of one of the largest upstreams adds some hundreds of suspicions. */
const MAX_SUSPICIONS = 4_096;

/** Number of upstreams that crash under a content before it is blocked for a time. */
const BLOCKING_CRASHES = 2;
/** Also the longest time for which a content that causes no crash can be refused. */
const BLOCK_DURATION_MS = 60_000;
/** A content that was blocked runs alone for this time, so that a resend crashes one upstream. */
const ISOLATION_DURATION_MS = 3_600_000;

/** A suspicion as it is sent to other instances; times are remaining times in ms. */
type SuspicionFields = Omit<
  Extract<Update, { kind: "crash-suspicion" }>,
  "kind" | "team" | "contentDigest"
>;

/** The suspicions that this instance knows of, with their trials. */
export class SuspicionTable {
  private readonly entries = new LRUCache<string, Suspicion>({ max: MAX_SUSPICIONS });

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): SuspicionTable {
    return new SuspicionTable(timers);
  }

  /** The unexpired suspicion of a content; an expired trial is removed from it. */
  find(content: RequestContent): Suspicion | undefined {
    const key = contentKey(content);
    const entry = this.entries.get(key);
    if (entry === undefined) return undefined;
    const now = this.timers.now();
    if (entry.expiresAt <= now) {
      this.entries.delete(key);
      return undefined;
    }
    if (entry.trial !== undefined && entry.trial.expiresAt <= now) entry.trial = undefined;
    return entry;
  }

  /** Adds crashes; returns false if all were known. A crash that was known extends no time limit. */
  recordCrashes(content: RequestContent, fields: SuspicionFields): boolean {
    const { service, upstreams, expiresMs, blockedMs } = fields;
    const now = this.timers.now();
    const expiresAt = now + expiresMs;
    const entry = this.find(content) ?? {
      service,
      upstreams: new Set(),
      expiresAt,
      blockedUntil: now,
      trial: undefined,
    };
    const known = entry.upstreams.size;
    for (const upstream of upstreams) entry.upstreams.add(upstream);
    if (entry.upstreams.size === known) return false;
    entry.service = service;
    entry.expiresAt = Math.max(entry.expiresAt, expiresAt);
    entry.blockedUntil = Math.max(entry.blockedUntil, now + blockedMs);
    if (known < BLOCKING_CRASHES && entry.upstreams.size >= BLOCKING_CRASHES) {
      entry.blockedUntil = Math.max(entry.blockedUntil, now + BLOCK_DURATION_MS);
      entry.expiresAt = Math.max(entry.expiresAt, now + ISOLATION_DURATION_MS);
    }
    this.entries.set(contentKey(content), entry);
    return true;
  }

  delete(content: RequestContent): void {
    this.entries.delete(contentKey(content));
  }

  /** The lowest instance id that holds a trial of another content on the upstream. */
  lowestContender(content: RequestContent, upstream: string): string | undefined {
    const now = this.timers.now();
    const key = contentKey(content);
    let lowest: string | undefined;
    for (const [otherKey, { trial, expiresAt }] of this.entries.entries()) {
      if (otherKey === key || trial?.upstream !== upstream) continue;
      if (Math.min(expiresAt, trial.expiresAt) <= now) continue;
      if (lowest === undefined || trial.instance < lowest) lowest = trial.instance;
    }
    return lowest;
  }

  startTrial(content: RequestContent, trial: Trial): void {
    const entry = this.find(content);
    if (entry !== undefined) entry.trial = trial;
  }

  endTrial(content: RequestContent): void {
    const entry = this.find(content);
    if (entry !== undefined) entry.trial = undefined;
  }

  /** Applies a trial of another instance; of concurrent claims the lowest instance id wins. */
  applyRemoteTrial(content: RequestContent, trial: NonNullable<SuspicionFields["trial"]>): void {
    const entry = this.find(content);
    if (entry === undefined) return;
    const { instance, upstream, expiresMs } = trial;
    if (expiresMs <= 0) {
      if (entry.trial?.instance === instance) entry.trial = undefined;
    } else if (entry.trial === undefined || instance <= entry.trial.instance) {
      entry.trial = { instance, upstream, expiresAt: this.timers.now() + expiresMs };
    }
  }

  /** The suspicion as fields of an update to other instances. */
  updateFields(content: RequestContent): SuspicionFields | undefined {
    const entry = this.entries.get(contentKey(content));
    if (entry === undefined) return undefined;
    const now = this.timers.now();
    const { service, upstreams, expiresAt, blockedUntil, trial } = entry;
    const fields = {
      service,
      upstreams: [...upstreams],
      expiresMs: expiresAt - now,
      blockedMs: Math.max(0, blockedUntil - now),
    };
    if (trial === undefined) return fields;
    const { instance, upstream } = trial;
    return { ...fields, trial: { instance, upstream, expiresMs: trial.expiresAt - now } };
  }
}
