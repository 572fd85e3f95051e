import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { DecisionLines } from "../forward/decision-lines.js";
import type { ForwardMetrics } from "../forward/forward-metrics.js";
import { rendezvousMember } from "../order/rendezvous.js";
import { aliveMembers } from "../peer/alive-members.js";
import type { Members } from "../peer/members.js";
import type { Update } from "../peer/update.js";
import type { Updates } from "../peer/updates.js";
import type { Timers } from "../time/timers.js";
import { AnsweredParts } from "./answered-parts.js";
import type { PartConviction } from "./part-conviction.js";
import { PartConvictions } from "./part-convictions.js";
import type { PartCrash } from "./part-crash.js";
import { PartEvidence } from "./part-evidence.js";

/** As for whole contents; a part that still crashes upstreams is convicted again. */
const CONVICTION_LIFETIME_MS = 3_600_000;

interface Parts {
  readonly timers: Timers;
  readonly self: string;
  readonly members: Members;
  readonly updates: Updates;
  readonly decisionLines: DecisionLines;
  readonly forwardMetrics: Pick<ForwardMetrics, "recordPartCrash" | "setPartConvictions">;
}

/**
 * Finds the parts of prompts that crash upstreams, from the crashes and responses of all instances,
 * and refuses requests that have them. The last part of a prompt is the request's own and is never
 * among the parts here.
 */
export class PromptGuard {
  private readonly evidence: PartEvidence;
  private readonly answeredParts: AnsweredParts;
  private readonly convictions: PartConvictions;
  private readonly verdictHandlers: (() => void)[] = [];

  private constructor(private readonly parts: Parts) {
    const { timers, updates } = parts;
    this.evidence = PartEvidence.create(timers);
    this.answeredParts = AnsweredParts.create(timers);
    this.convictions = PartConvictions.create(timers);
    updates.subscribe((update) => {
      this.applyUpdate(update);
    });
  }

  static create(parts: Parts): PromptGuard {
    return new PromptGuard(parts);
  }

  /**
   * Throws `PartConvicted` if requests with these parts crash upstreams of the service. Returns
   * whether the request is one that runs nevertheless, to find out whether they still do.
   */
  admit(service: string, parts: readonly string[]): boolean {
    const conviction = this.convictions.find(service, parts);
    if (conviction === undefined) return false;
    if (this.convictions.isTrialDue(conviction) && this.isTrialOwner(conviction)) {
      this.convictions.startTrial(conviction);
      this.parts.decisionLines.write("convicted prompt parts on trial", conviction);
      return true;
    }
    throw ServeError.create(
      ErrorKind.PartConvicted,
      `prompt parts ${conviction.parts.join(",")} crashed ${conviction.processes.length} upstreams`,
      { retryAfterMs: conviction.expiresMs },
    );
  }

  isConvicted(service: string, parts: readonly string[]): boolean {
    return this.convictions.find(service, parts) !== undefined;
  }

  /**
   * The part among these that is most likely to crash an upstream; undefined if none is suspect.
   * Requests with the same suspect share an upstream, so that the next crash costs one.
   */
  suspectAmong(service: string, parts: readonly string[]): string | undefined {
    return this.evidence.suspectAmong(service, parts);
  }

  /** Time for which a request with these parts waits after a crash under one of them, in ms. */
  pauseMs(service: string, parts: readonly string[]): number {
    return this.evidence.pauseMs(service, parts);
  }

  /** Records that an upstream responded to a request with these parts. */
  recordAnswer(service: string, parts: readonly string[]): void {
    if (parts.length === 0) return;
    this.answeredParts.record(service, parts);
    this.clearEverywhere(service, parts);
  }

  /**
   * Records that an upstream process crashed as it began to respond to a request with these parts;
   * returns whether one of them may be the cause.
   */
  recordCrash(service: string, process: string, parts: readonly string[]): boolean {
    const suspects = parts.filter((part) => !this.answeredParts.has(service, part));
    if (suspects.length === 0) return false;
    const crash = { service, process, requests: [suspects] };
    this.parts.updates.publish({ kind: "part-crash", ...crash });
    const conviction = this.applyCrash(crash);
    if (conviction !== undefined) {
      this.parts.updates.publish({ kind: "part-conviction", ...conviction });
      for (const handler of this.verdictHandlers) handler();
    }
    return true;
  }

  /** Adopts stored convictions, and returns those that responses have not lifted since. */
  adopt(stored: readonly PartConviction[]): PartConviction[] {
    const valid = stored.filter((conviction) => !this.convictions.wasLifted(conviction));
    for (const conviction of valid) this.convict(conviction);
    return valid;
  }

  /** The convictions in force. */
  list(): PartConviction[] {
    return this.convictions.all();
  }

  /** Calls `handler` after this instance has convicted parts itself, or got a response to some. */
  onVerdict(handler: () => void): void {
    this.verdictHandlers.push(handler);
  }

  /** One instance of the fleet runs the trials of a conviction. */
  private isTrialOwner({ service, parts }: PartConviction): boolean {
    const { self, members } = this.parts;
    const alive = [self, ...aliveMembers(members).map(({ id }) => id)];
    return rendezvousMember(`${service} ${parts.join(" ")}`, alive) === self;
  }

  private applyUpdate(update: Update): void {
    switch (update.kind) {
      case "part-crash":
        this.applyCrash(update);
        this.clearAnswered(update);
        return;
      case "part-acquittal":
        this.evidence.acquit(update.service, update.parts);
        this.acquit(update.service, update.parts);
        return;
      case "part-conviction":
        this.convict(update);
        return;
      case "configuration":
      case "upstream-limits":
      case "cold-upstreams":
      case "upstream-full":
      case "version-plan":
      case "crash-suspicion":
      case "crash-conviction":
      case "crash-acquittal":
    }
  }

  /** Tells all instances which suspects of a remote crash this instance got responses to. */
  private clearAnswered({ service, requests }: PartCrash): void {
    const answered = [...new Set(requests.flat())].filter((part) =>
      this.answeredParts.has(service, part),
    );
    this.clearEverywhere(service, answered);
  }

  private applyCrash(crash: PartCrash): PartConviction | undefined {
    const { service, process, requests } = crash;
    const { decisionLines, forwardMetrics } = this.parts;
    this.evidence.record(crash);
    for (const suspects of requests) this.convictions.recordCrash(service, suspects);
    forwardMetrics.recordPartCrash(service);
    decisionLines.write("suspect prompt parts", { service, process, parts: requests.flat() });
    const guilty = this.evidence.findGuilty(service, requests.flat());
    if (guilty === undefined) return undefined;
    const conviction = { service, ...guilty, expiresMs: CONVICTION_LIFETIME_MS };
    if (!this.convict(conviction)) return undefined;
    return conviction;
  }

  private convict(conviction: PartConviction): boolean {
    if (!this.convictions.add(conviction)) return false;
    const { service, parts, processes } = conviction;
    this.parts.forwardMetrics.setPartConvictions(this.convictions.all().length);
    this.parts.decisionLines.write("prompt parts convicted", { service, parts, processes });
    return true;
  }

  /** Clears those of the parts that are suspect or convicted, at all instances. */
  private clearEverywhere(service: string, parts: readonly string[]): void {
    const convicted = parts.filter((part) => this.convictions.includesPart(service, part));
    const cleared = [...new Set([...this.evidence.acquit(service, parts), ...convicted])];
    if (cleared.length === 0) return;
    this.parts.updates.publish({ kind: "part-acquittal", service, parts: cleared });
    if (!this.acquit(service, cleared)) return;
    for (const handler of this.verdictHandlers) handler();
  }

  /** Returns whether a conviction changed. */
  private acquit(service: string, cleared: readonly string[]): boolean {
    const changed = this.convictions.acquit(service, cleared);
    this.parts.decisionLines.write("prompt parts cleared", { service, parts: cleared, changed });
    if (changed) this.parts.forwardMetrics.setPartConvictions(this.convictions.all().length);
    return changed;
  }
}
