import { LRUCache } from "lru-cache";
import type { Update } from "../peer/update.js";
import type { Timers } from "../time/timers.js";
import { type RequestContent, contentKey } from "./request-content.js";
import type { Suspicion } from "./suspicion.js";
import type { Trial } from "./trial.js";

/** Bounds memory; a crash of the largest upstreams makes some hundreds of contents suspect. */
const MOST_SUSPICIONS = 4_096;

/** Crashes of shared upstreams after which a content is blocked for a time. */
const MOST_CRASHES = 2;
/** Longest time for which an innocent content can be refused. */
const BLOCK_MS = 60_000;
/** A content that was blocked runs alone for this time, so that a poison resend costs one upstream. */
const WATCH_MS = 3_600_000;

/** A suspicion as it is spread among instances; times are remaining times in ms. */
type SuspicionFields = Omit<
  Extract<Update, { kind: "crash-suspicion" }>,
  "kind" | "team" | "contentDigest"
>;

/** The suspicions that this instance knows of and their trials. */
export class SuspicionTable {
  private readonly entries = new LRUCache<string, Suspicion>({ max: MOST_SUSPICIONS });

  private constructor(private readonly timers: Timers) {}

  static create(timers: Timers): SuspicionTable {
    return new SuspicionTable(timers);
  }

  /** The suspicion of a content, without what has expired. */
  find(content: RequestContent): Suspicion | undefined {
    const key = contentKey(content);
    const entry = this.entries.get(key);
    if (entry === undefined) return undefined;
    const now = this.timers.now();
    if (entry.until <= now) {
      this.entries.delete(key);
      return undefined;
    }
    if (entry.trial !== undefined && entry.trial.until <= now) entry.trial = undefined;
    return entry;
  }

  /** Takes crashes; returns false if all of them were known. A known crash extends nothing. */
  add(content: RequestContent, fields: SuspicionFields): boolean {
    const { service, upstreams, expiresMs, blockedMs } = fields;
    const now = this.timers.now();
    const until = now + expiresMs;
    const entry = this.find(content) ?? {
      service,
      upstreams: new Set(),
      until,
      blockedUntil: now,
      trial: undefined,
    };
    const known = entry.upstreams.size;
    for (const upstream of upstreams) entry.upstreams.add(upstream);
    if (entry.upstreams.size === known) return false;
    entry.service = service;
    entry.until = Math.max(entry.until, until);
    entry.blockedUntil = Math.max(entry.blockedUntil, now + blockedMs);
    if (known < MOST_CRASHES && entry.upstreams.size >= MOST_CRASHES) {
      entry.blockedUntil = Math.max(entry.blockedUntil, now + BLOCK_MS);
      entry.until = Math.max(entry.until, now + WATCH_MS);
    }
    this.entries.set(contentKey(content), entry);
    return true;
  }

  delete(content: RequestContent): void {
    this.entries.delete(contentKey(content));
  }

  /** The least instance that has another content on trial on the upstream. */
  contender(content: RequestContent, upstream: string): string | undefined {
    const now = this.timers.now();
    const key = contentKey(content);
    let least: string | undefined;
    for (const [other, { trial, until }] of this.entries.entries()) {
      if (other === key || trial?.upstream !== upstream) continue;
      if (Math.min(until, trial.until) <= now) continue;
      if (least === undefined || trial.instance < least) least = trial.instance;
    }
    return least;
  }

  startTrial(content: RequestContent, trial: Trial): void {
    const entry = this.find(content);
    if (entry !== undefined) entry.trial = trial;
  }

  endTrial(content: RequestContent): void {
    const entry = this.find(content);
    if (entry !== undefined) entry.trial = undefined;
  }

  /** Takes the trial of another instance; of two at once, all instances keep the lesser one. */
  learnTrial(content: RequestContent, trial: NonNullable<SuspicionFields["trial"]>): void {
    const entry = this.find(content);
    if (entry === undefined) return;
    const { instance, upstream, expiresMs } = trial;
    if (expiresMs <= 0) {
      if (entry.trial?.instance === instance) entry.trial = undefined;
    } else if (entry.trial === undefined || instance <= entry.trial.instance) {
      entry.trial = { instance, upstream, until: this.timers.now() + expiresMs };
    }
  }

  /** A suspicion in the form in which it is spread. */
  fields(content: RequestContent): SuspicionFields | undefined {
    const entry = this.entries.get(contentKey(content));
    if (entry === undefined) return undefined;
    const now = this.timers.now();
    const { service, upstreams, until, blockedUntil, trial } = entry;
    const fields = {
      service,
      upstreams: [...upstreams],
      expiresMs: until - now,
      blockedMs: Math.max(0, blockedUntil - now),
    };
    if (trial === undefined) return fields;
    const { instance, upstream } = trial;
    return { ...fields, trial: { instance, upstream, expiresMs: trial.until - now } };
  }
}
