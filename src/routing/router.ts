import type { Work } from "../admission/work.js";
import type { Configuration } from "../configuration/configuration.js";
import { Rank } from "../configuration/rank.js";
import { UpstreamState } from "../configuration/upstream-state.js";
import type { RandomSource } from "../random/random-source.js";
import type { Timers } from "../time/timers.js";
import { OutlierEjection } from "./outlier-ejection.js";
import { PrefixAffinity } from "./prefix-affinity.js";
import type { RoutingChoice } from "./routing-choice.js";
import { score } from "./score.js";
import { ServiceTotals } from "./service-totals.js";
import { UpstreamRecord } from "./upstream-record.js";

const MAX_RANDOM_CANDIDATES = 3;
/** Upstreams sampled per choice; bounds the cost of a choice in a large fleet. */
const SAMPLE_SIZE = 8;
/**
 * Score factor of an upstream where this instance has used up its share of the limit. If such
 * upstreams were excluded, a known straggler would be chosen when it is the only one with room.
 */
const FULL_SHARE_PENALTY = 1.5;
/** Load of a prefix home, relative to its capacity, at which the next home is used as well. */
const SPREAD_LOAD_RATIO = 0.8;
/** Minimum cache probability at the home, because all instances send the prefix there. */
const MIN_HOME_PROBABILITY = 0.8;

/** What a router needs from the daemon. */
export interface RouterParts {
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly configuration: () => Configuration | undefined;
  readonly service: string;
  readonly dataCentre: string;
}

/** Chooses upstreams of one service by expected completion time. */
export class Router {
  private records: UpstreamRecord[] = [];
  private eligible: UpstreamRecord[] = [];
  private ejected: UpstreamRecord[] = [];
  private byId = new Map<string, UpstreamRecord>();
  private ids: string[] = [];
  private version = -1;
  private readonly totals = ServiceTotals.create();
  private readonly affinity = PrefixAffinity.create();
  private readonly ejection = OutlierEjection.create(() => this.records);

  private constructor(private readonly parts: RouterParts) {}

  static create(parts: RouterParts): Router {
    return new Router(parts);
  }

  /** Records of all active upstreams, ejected ones included. */
  activeRecords(): readonly UpstreamRecord[] {
    this.refresh();
    return this.records;
  }

  /** Requests that the eligible upstreams may run at once, for all instances together. */
  capacity(): number {
    this.refresh();
    return this.totals.capacity(this.parts.timers.now());
  }

  /**
   * Chooses an upstream, or undefined if none may take the work now. Upstreams
   * where this instance uses less than `share` of the limit are preferred.
   */
  choose(work: Work, costMs: number, share: number): RoutingChoice | undefined {
    this.refresh();
    const probe = this.takeProbe(work);
    if (probe !== undefined) return { record: probe, reason: "probe", candidates: [] };
    const now = this.parts.timers.now();
    const key = PrefixAffinity.key(work.prompt);
    const homes = this.homes(key, now);
    const candidates = this.candidates(work, homes, share, now).map(({ record, filled }) => {
      const sent = key === undefined ? 0 : this.affinity.confidence(key, record.upstream.id, now);
      const cached = record === homes[0] ? Math.max(sent, MIN_HOME_PROBABILITY) : sent;
      const scoreMs = this.score(record, costMs, cached, now) * (filled ? FULL_SHARE_PENALTY : 1);
      return { record, scoreMs };
    });
    let best = candidates[0];
    for (const candidate of candidates) {
      if (best === undefined || candidate.scoreMs < best.scoreMs) best = candidate;
    }
    if (best === undefined) return undefined;
    const { record } = best;
    if (key !== undefined) this.affinity.recordDispatch(key, record.upstream.id, now);
    return {
      record,
      reason: record === homes[0] ? "prefix-home" : "best-score",
      candidates: candidates.map((candidate) => ({
        upstream: candidate.record.upstream.id,
        scoreMs: Math.round(candidate.scoreMs),
      })),
    };
  }

  /**
   * Chooses an upstream that runs nothing of this instance, and keeps it free while it drains.
   * Returns undefined until one is idle.
   */
  chooseExclusive(work: Work): RoutingChoice | undefined {
    this.refresh();
    const usable = this.eligible.filter((known) => isUsableFor(work, known));
    let record = this.eligible.find((known) => known.reserved);
    // An upstream that is down is always idle, so healthy ones come first.
    record ??= usable.sort(
      (a, b) =>
        Number(b.reachable) - Number(a.reachable) ||
        a.consecutiveFailures - b.consecutiveFailures ||
        a.inFlight - b.inFlight,
    )[0];
    if (record === undefined) return undefined;
    record.reserved = true;
    return record.inFlight > 0 ? undefined : { record, reason: "exclusive", candidates: [] };
  }

  /** Whether any upstream is left that the work does not exclude. */
  hasCandidate(work: Work): boolean {
    this.refresh();
    return this.records.some(({ upstream }) => !work.excluded.has(upstream.id));
  }

  /** Records the result of an attempt; `ratio` is its time as a multiple of the estimate. */
  recordResult(record: UpstreamRecord, succeeded: boolean, ratio: number): void {
    const now = this.parts.timers.now();
    if (succeeded) {
      record.recordSuccess(ratio);
      record.limit.observe(ratio);
    } else record.recordFailure();
    if (this.ejection.applyResult(record, succeeded, ratio, now)) this.partitionRecords();
  }

  /** Counts a missing load report as a failure, unless the upstream is ejected or being probed. */
  recordMissingReport(record: UpstreamRecord): void {
    if (record.ejectionState.kind === "eligible") this.recordResult(record, false, 0);
  }

  /** Ends a probe without a result; the next probe may start at once. */
  cancelProbe(record: UpstreamRecord): void {
    if (record.ejectionState.kind !== "probing") return;
    const { periodMs } = record.ejectionState;
    record.ejectionState = { kind: "ejected", until: this.parts.timers.now(), periodMs };
  }

  private takeProbe(work: Work): UpstreamRecord | undefined {
    if (work.rank === Rank.Urgent) return undefined;
    if (this.eligible.length === this.records.length) return undefined;
    const now = this.parts.timers.now();
    const record = this.ejection.nextProbe(this.ejected, now);
    if (record?.ejectionState.kind !== "ejected" || work.excluded.has(record.upstream.id))
      return undefined;
    record.ejectionState = { kind: "probing", since: now, periodMs: record.ejectionState.periodMs };
    return record;
  }

  private homes(key: number | undefined, now: number): UpstreamRecord[] {
    if (key === undefined) return [];
    const ids = this.affinity.homes(key, this.ids, 2);
    const [home, next] = ids.map((id) => this.byId.get(id));
    if (home === undefined) return [];
    const spread = this.load(home, now) >= SPREAD_LOAD_RATIO * home.capacity(now);
    return spread && next !== undefined ? [home, next] : [home];
  }

  /** Homes come first: of equal scores the first wins, on all instances alike. */
  private candidates(
    work: Work,
    homes: readonly UpstreamRecord[],
    share: number,
    now: number,
  ): { record: UpstreamRecord; filled: boolean }[] {
    const drawn = this.sampleUsable(work).filter((record) => !homes.includes(record));
    const known = [...homes.filter((home) => isUsableFor(work, home)), ...drawn].map((record) => ({
      record,
      filled: record.inFlight >= Math.max(1, Math.round(share * record.capacity(now))),
      home: homes.includes(record),
    }));
    const free = known.filter(({ filled, home }) => !filled && !home);
    const filled = known.filter((one) => one.filled && !one.home);
    return [
      ...known.filter(({ home }) => home),
      ...free.slice(0, MAX_RANDOM_CANDIDATES),
      ...filled.slice(0, MAX_RANDOM_CANDIDATES),
    ];
  }

  private sampleUsable(work: Work): UpstreamRecord[] {
    const drawn = this.parts.random
      .sample(this.eligible, SAMPLE_SIZE)
      .filter((record) => isUsableFor(work, record));
    return drawn.length > 0 ? drawn : this.eligible.filter((record) => isUsableFor(work, record));
  }

  private load(record: UpstreamRecord, now: number): number {
    return record.inFlight + record.reportedLoad.expected(this.totals.meanOthers(now), now);
  }

  private score(record: UpstreamRecord, costMs: number, cached: number, now: number): number {
    const { dataCentre } = this.parts;
    const link = this.parts.configuration()?.link(dataCentre, record.upstream.dataCentre);
    return score({
      costMs,
      // Detects a straggler before its first slow attempt ends.
      ratio: Math.max(record.ratio, record.overdueRatio(now)),
      load: this.load(record, now),
      capacity: record.capacity(now),
      delayMs: link?.delayMs ?? 0,
      linkCost: link?.cost ?? 0,
      cached,
      successShare: record.successShare,
      ramp: record.rampShare(now),
    });
  }

  private refresh(): void {
    const configuration = this.parts.configuration();
    const version = configuration?.version ?? 0;
    if (version === this.version) return;
    // Upstreams of the first configuration are not new to the service, only to this process.
    const rampStart = this.version < 0 ? Number.NEGATIVE_INFINITY : this.parts.timers.now();
    this.version = version;
    const known = new Map(this.records.map((record) => [record.upstream.id, record]));
    this.records = (configuration?.upstreamsOf(this.parts.service) ?? [])
      .filter((upstream) => upstream.state === UpstreamState.Active)
      .map((upstream) => {
        const record = known.get(upstream.id);
        return record?.upstream.address === upstream.address
          ? record
          : UpstreamRecord.create(upstream, rampStart);
      });
    this.partitionRecords();
  }

  private partitionRecords(): void {
    this.eligible = this.records.filter(({ ejectionState }) => ejectionState.kind === "eligible");
    this.ejected = this.records.filter(({ ejectionState }) => ejectionState.kind !== "eligible");
    this.byId = new Map(this.eligible.map((record) => [record.upstream.id, record]));
    this.ids = [...this.byId.keys()];
    this.totals.setRecords(this.eligible);
  }
}

function isUsableFor(work: Work, record: UpstreamRecord): boolean {
  return !record.reserved && !work.excluded.has(record.upstream.id);
}
