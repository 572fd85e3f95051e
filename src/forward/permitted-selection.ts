import type { Permit } from "../limit/permit.js";
import type { UpstreamPermits } from "../limit/upstream-permits.js";
import { untilAborted } from "../pipeline/until-aborted.js";
import type { Timers } from "../time/timers.js";
import { MAX_UTILIZATION } from "./engine-selection.js";
import { expectedLatencyMs } from "./expected-latency.js";
import type { RequestContext } from "./request-context.js";
import type { StageInputs } from "./stage-inputs.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";
import type { UpstreamSelector } from "./upstream-selector.js";
import type { UpstreamStatements } from "./upstream-statements.js";

/**
 * Wait for a permit while other upstreams may take the request; about a round trip between data
 * centres. Without it, requests and permits would miss each other under a high limit.
 */
const PATIENCE_MS = 25;
/** Refusals by owners of limits after which only upstreams without a limit are considered. */
const MAX_ASKED = 3;
/** Upstreams at which a request waits for a permit, one after the other. */
const MAX_WAITS = 2;

/** Interval at which a waiting request checks whether its upstream may still get it. */
const CLOSED_CHECK_MS = 50;

const CLOSED = { kind: "closed" } as const;

/** Lower bound of the retry delay of a refused request, as the expected wait may be unknown. */
const MIN_RETRY_AFTER_MS = 300;

/** Input of a selection. */
export interface SelectionInput {
  readonly context: RequestContext;
  /** IDs of upstreams already attempted. */
  readonly tried: ReadonlySet<string>;
  /** Whether an attempt of the request may have run. */
  readonly mayHaveRun: boolean;
  /** Undefined if the request has no stages. */
  readonly inputs: StageInputs | undefined;
}

/** The upstream for an attempt. */
export type SelectionOutcome =
  | {
      readonly kind: "selected";
      readonly entry: UpstreamEntry;
      readonly permit: Permit | undefined;
    }
  /** All upstreams that are left state a limit or are cold, and have no permit in time. */
  | { readonly kind: "limited"; readonly availableInMs: number }
  /** The upstream that was waited for closed meanwhile; others may have room by now. */
  | typeof CLOSED
  | { readonly kind: "none" };

interface Parts {
  readonly timers: Timers;
  readonly directory: UpstreamDirectory;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly upstreamSelector: UpstreamSelector;
  readonly upstreamPermits: UpstreamPermits;
  readonly upstreamStatements: Pick<UpstreamStatements, "isOpen">;
}

type Selected = Extract<SelectionOutcome, { kind: "selected" }>;

/** Selects upstreams for requests, with permits for those that state a limit or are cold. */
export class PermittedSelection {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): PermittedSelection {
    return new PermittedSelection(parts);
  }

  /**
   * Selects an upstream that may be used now; if all are limited, waits for the first permit until
   * the target can no longer be met, or until the deadline if work was already spent on the
   * request.
   */
  async select({ context, tried, mayHaveRun, inputs }: SelectionInput): Promise<SelectionOutcome> {
    const { service, route } = context;
    const excluded = new Set(tried);
    const limited: UpstreamEntry[] = [];
    const exclude = (entries: readonly UpstreamEntry[]): void => {
      for (const entry of entries) excluded.add(entry.id);
      limited.push(...entries);
    };
    const untriedLimited = this.limitedUpstreams(service).filter(({ id }) => !tried.has(id));
    exclude(untriedLimited.filter((entry) => this.waitMs(entry, context) > PATIENCE_MS));
    for (let refusals = 0; ; refusals += 1) {
      if (refusals === MAX_ASKED) exclude(untriedLimited.filter(({ id }) => !excluded.has(id)));
      const entry = this.selectNear(context, excluded, limited, inputs?.dataCentre);
      if (entry === undefined) break;
      const outcome = await this.acquire(entry, context, PATIENCE_MS);
      if (outcome !== undefined) return outcome;
      exclude([entry]);
    }
    if (limited.length === 0) return { kind: "none" };
    const workSpent = mayHaveRun || (inputs?.handles.length ?? 0) > 0;
    const endMs = workSpent ? context.deadlineMs : context.targetMs;
    return this.waitFor(limited, context, endMs - expectedLatencyMs(route));
  }

  /**
   * Selects an upstream; if a limit displaces the request from the data centre of its stage results,
   * prefers the others there, as the results may be large.
   */
  private selectNear(
    { service, attributes }: RequestContext,
    excluded: ReadonlySet<string>,
    limited: readonly UpstreamEntry[],
    dataCentre: string | undefined,
  ): UpstreamEntry | undefined {
    const { directory, upstreamSelector, upstreamHealth } = this.parts;
    const entry = upstreamSelector.select(service, attributes.promptParts, excluded);
    if (entry === undefined || dataCentre === undefined) return entry;
    const displaced =
      entry.dataCentre !== dataCentre && limited.some((each) => each.dataCentre === dataCentre);
    if (!displaced) return entry;
    const elsewhere = directory
      .forService(service)
      .flatMap((each) => (each.dataCentre === dataCentre ? [] : [each.id]));
    const others = new Set([...excluded, ...elsewhere]);
    const near = upstreamSelector.select(service, attributes.promptParts, others);
    if (near === undefined) return entry;
    const { backingOff, inFlight } = upstreamHealth.of(near.id);
    return backingOff || inFlight >= MAX_UTILIZATION * near.slots ? entry : near;
  }

  /** Expected wait for the first permit of a service in ms; 0 if an upstream has no limit. */
  expectedWaitMs({ service, rank, team }: RequestContext): number {
    const { directory, upstreamHealth, upstreamPermits } = this.parts;
    const waits = upstreamHealth
      .available(directory.forService(service))
      .map((entry) => upstreamPermits.expectedWaitMs(entry, { rank, team: team?.name ?? "" }));
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  /** Waits at the upstreams with the shortest expected waits. */
  private async waitFor(
    limited: readonly UpstreamEntry[],
    context: RequestContext,
    endMs: number,
  ): Promise<SelectionOutcome> {
    const waitMs = (entry: UpstreamEntry): number => this.waitMs(entry, context);
    const byWait = [...limited].sort((a, b) => waitMs(a) - waitMs(b));
    for (const entry of byWait.slice(0, MAX_WAITS)) {
      const leftMs = endMs - this.parts.timers.now();
      if (waitMs(entry) > leftMs) break;
      const outcome = await this.acquire(entry, context, leftMs);
      if (outcome !== undefined) return outcome;
      if (!this.isOpen(entry)) return CLOSED;
    }
    const availableInMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(...limited.map(waitMs)));
    return { kind: "limited", availableInMs };
  }

  /** Undefined if the permit is refused, or the upstream may get no request any more. */
  private async acquire(
    entry: UpstreamEntry,
    { attributes, rank, team, signal }: RequestContext,
    maxWaitMs: number,
  ): Promise<Selected | undefined> {
    const { upstreamPermits } = this.parts;
    if (!upstreamPermits.isNeeded(entry)) return { kind: "selected", entry, permit: undefined };
    const permit = upstreamPermits.acquire(entry, {
      rank,
      team: team?.name ?? "",
      maxWaitMs: Math.max(0, maxWaitMs),
      attempt: attributes.attemptId,
    });
    const ended = new AbortController();
    const closed = this.untilClosed(entry, ended.signal);
    const outcome = await untilAborted(Promise.race([permit, closed]), signal).finally(() => {
      ended.abort();
    });
    if (outcome === undefined || !this.isOpen(entry)) return undefined;
    switch (outcome.kind) {
      case "unlimited":
        return { kind: "selected", entry, permit: undefined };
      case "granted":
        return { kind: "selected", entry, permit: outcome.permit };
      case "refused":
        return undefined;
    }
  }

  /** Resolves when the upstream may get no request any more, or the wait for its permit has ended. */
  private async untilClosed(entry: UpstreamEntry, ended: AbortSignal): Promise<undefined> {
    while (!ended.aborted && this.isOpen(entry))
      await this.parts.timers.sleep(CLOSED_CHECK_MS, ended).catch(() => undefined);
  }

  private isOpen(entry: UpstreamEntry): boolean {
    const { upstreamStatements, upstreamHealth } = this.parts;
    return upstreamStatements.isOpen(entry, upstreamHealth.of(entry.id));
  }

  private waitMs(entry: UpstreamEntry, { rank, team }: RequestContext): number {
    return this.parts.upstreamPermits.expectedWaitMs(entry, { rank, team: team?.name ?? "" });
  }

  private limitedUpstreams(service: string): UpstreamEntry[] {
    const { directory, upstreamHealth, upstreamPermits } = this.parts;
    const available = upstreamHealth.available(directory.forService(service));
    return available.filter((entry) => upstreamPermits.isNeeded(entry));
  }
}
