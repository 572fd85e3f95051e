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

const RANDOM_CANDIDATES = 3;
/** Upstreams looked at to find the candidates; bounds the work of a decision in a large fleet. */
const DRAWN = 8;
/**
 * Factor on the score of an upstream whose part of this instance is filled. Without the comparison a
 * known straggler is chosen when it is the only one with room.
 */
const FILLED_PART = 1.5;
/** Load of a prefix home, as part of its limit, at which its prefixes spread to the next. */
const SPREAD_LOAD = 0.8;
/** Least probability that the home has a prefix, because all instances send it there. */
const HOME_CONFIDENCE = 0.8;

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
  private out: UpstreamRecord[] = [];
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
   * Chooses an upstream, or undefined if none may take the work now. Upstreams of whose limit this
   * instance fills less than `ownPart` come first.
   */
  choose(work: Work, costMs: number, ownPart: number): RoutingChoice | undefined {
    this.refresh();
    const probe = this.probe(work);
    if (probe !== undefined) return { record: probe, reason: "probe", candidates: [] };
    const now = this.parts.timers.now();
    const key = PrefixAffinity.key(work.prompt);
    const homes = this.homes(key, now);
    const candidates = this.candidates(work, homes, ownPart, now).map(({ record, filled }) => {
      const sent = key === undefined ? 0 : this.affinity.confidence(key, record.upstream.id, now);
      const cached = record === homes[0] ? Math.max(sent, HOME_CONFIDENCE) : sent;
      const scoreMs = this.score(record, costMs, cached, now) * (filled ? FILLED_PART : 1);
      return { record, scoreMs };
    });
    let best = candidates[0];
    for (const candidate of candidates) {
      if (best === undefined || candidate.scoreMs < best.scoreMs) best = candidate;
    }
    if (best === undefined) return undefined;
    const { record } = best;
    if (key !== undefined) this.affinity.dispatched(key, record.upstream.id, now);
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
    const usable = this.eligible.filter((known) => usableFor(work, known));
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

  /** Whether any upstream is left that the work was not refused by. */
  hasCandidate(work: Work): boolean {
    this.refresh();
    return this.records.some(({ upstream }) => !work.excluded.has(upstream.id));
  }

  /** Takes the result of an attempt; `ratio` is its time as a multiple of the estimate. */
  recordResult(record: UpstreamRecord, succeeded: boolean, ratio: number): void {
    const now = this.parts.timers.now();
    if (succeeded) {
      record.recordSuccess(ratio);
      record.limit.observe(ratio);
    } else record.recordFailure();
    if (this.ejection.judge(record, succeeded, ratio, now)) this.select();
  }

  /** Takes a missing load report as a failure, unless a probe already decides. */
  recordMissingReport(record: UpstreamRecord): void {
    if (record.ejectionState.kind === "eligible") this.recordResult(record, false, 0);
  }

  /** Ends a probe without a judgement. */
  cancelProbe(record: UpstreamRecord): void {
    if (record.ejectionState.kind !== "probing") return;
    const { periodMs } = record.ejectionState;
    record.ejectionState = { kind: "ejected", until: this.parts.timers.now(), periodMs };
  }

  private probe(work: Work): UpstreamRecord | undefined {
    if (work.rank === Rank.Urgent) return undefined;
    if (this.eligible.length === this.records.length) return undefined;
    const now = this.parts.timers.now();
    const record = this.ejection.due(this.out, now);
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
    const spread = this.load(home, now) >= SPREAD_LOAD * home.capacity(now);
    return spread && next !== undefined ? [home, next] : [home];
  }

  /** Homes come first: of equal scores the first wins, on all instances alike. */
  private candidates(
    work: Work,
    homes: readonly UpstreamRecord[],
    ownPart: number,
    now: number,
  ): { record: UpstreamRecord; filled: boolean }[] {
    const drawn = this.drawn(work).filter((record) => !homes.includes(record));
    const known = [...homes.filter((home) => usableFor(work, home)), ...drawn].map((record) => ({
      record,
      filled: record.inFlight >= Math.max(1, Math.round(ownPart * record.capacity(now))),
      home: homes.includes(record),
    }));
    const free = known.filter(({ filled, home }) => !filled && !home);
    const filled = known.filter((one) => one.filled && !one.home);
    return [
      ...known.filter(({ home }) => home),
      ...free.slice(0, RANDOM_CANDIDATES),
      ...filled.slice(0, RANDOM_CANDIDATES),
    ];
  }

  private drawn(work: Work): UpstreamRecord[] {
    const drawn = this.parts.random
      .sample(this.eligible, DRAWN)
      .filter((record) => usableFor(work, record));
    return drawn.length > 0 ? drawn : this.eligible.filter((record) => usableFor(work, record));
  }

  private load(record: UpstreamRecord, now: number): number {
    return record.inFlight + record.reportedLoad.expected(this.totals.meanOthers(now), now);
  }

  private score(record: UpstreamRecord, costMs: number, cached: number, now: number): number {
    const { dataCentre } = this.parts;
    const link = this.parts.configuration()?.link(dataCentre, record.upstream.dataCentre);
    return score({
      costMs,
      // A straggler shows before its first slow attempt ends.
      ratio: Math.max(record.ratio, record.overdue(now)),
      load: this.load(record, now),
      capacity: record.capacity(now),
      delayMs: link?.delayMs ?? 0,
      linkCost: link?.cost ?? 0,
      cached,
      successShare: record.successShare,
      ramp: record.ramp(now),
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
    this.select();
  }

  private select(): void {
    this.eligible = this.records.filter(({ ejectionState }) => ejectionState.kind === "eligible");
    this.out = this.records.filter(({ ejectionState }) => ejectionState.kind !== "eligible");
    this.byId = new Map(this.eligible.map((record) => [record.upstream.id, record]));
    this.ids = [...this.byId.keys()];
    this.totals.take(this.eligible);
  }
}

function usableFor(work: Work, record: UpstreamRecord): boolean {
  return !record.reserved && !work.excluded.has(record.upstream.id);
}
