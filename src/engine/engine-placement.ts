import type { DecisionLines } from "../forward/decision-lines.js";
import type { ForwardMetrics } from "../forward/forward-metrics.js";
import { MAX_UTILIZATION } from "../forward/engine-selection.js";
import { hashFraction } from "../forward/hash-fraction.js";
import type { PromptPart } from "../forward/prompt-part.js";
import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { UpstreamHealthRegistry } from "../forward/upstream-health-registry.js";
import type { Timers } from "../time/timers.js";
import { type ChosenEngine, chooseEngine } from "./engine-choice.js";
import { EngineForecast } from "./engine-forecast.js";
import type { EngineLoad } from "./engine-load.js";
import type { EngineOption } from "./engine-option.js";
import { EngineOrder } from "./engine-order.js";
import type { EngineSpeeds } from "./engine-speeds.js";
import { type EngineTask, EngineWork } from "./engine-work.js";
import { KeptParts } from "./kept-parts.js";
import { MAX_HOMES, type PartDemand } from "./part-demand.js";
import { PlacementReason } from "./placement-reason.js";

/** Engines with room that are looked at: the homes, some that are slow, and fallbacks. */
const MAX_OPTIONS = 2 * MAX_HOMES;

interface Parts {
  readonly timers: Timers;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly engineLoad: EngineLoad;
  readonly engineSpeeds: EngineSpeeds;
  readonly partDemand: PartDemand;
  readonly decisionLines: Pick<DecisionLines, "write">;
  readonly forwardMetrics: Pick<ForwardMetrics, "recordPlacement">;
}

type WorkParts = Parameters<typeof EngineWork.create>[0];

/** A request that is to be placed. */
export interface EngineRequest {
  readonly service: string;
  /** Requests with the same prefix share a home. */
  readonly prefix: string;
  readonly promptParts: readonly PromptPart[];
  /** All engines of the service by ID. */
  readonly candidates: readonly UpstreamEntry[];
  /** IDs of engines that must not be used. */
  readonly tried: ReadonlySet<string>;
}

/** Chooses engines for requests by the expected time until the first event. */
export class EnginePlacement {
  private readonly engineOrder = EngineOrder.create();
  private readonly workParts: WorkParts;
  private readonly forecast: EngineForecast;
  /** The last choice by request; each request is placed several times. */
  private readonly chosen = new WeakMap<readonly PromptPart[], ChosenEngine>();

  private constructor(private readonly parts: Parts) {
    const { timers, engineLoad, engineSpeeds } = parts;
    const keptParts = KeptParts.create(parts);
    this.forecast = EngineForecast.create({ engineLoad, engineSpeeds, keptParts });
    this.workParts = { timers, engineLoad, engineSpeeds, keptParts, forecast: this.forecast };
  }

  static create(parts: Parts): EnginePlacement {
    return new EnginePlacement(parts);
  }

  /** Undefined if no engine is left. */
  place(request: EngineRequest): ChosenEngine | undefined {
    const { service, prefix, promptParts } = request;
    const { partDemand, decisionLines } = this.parts;
    if (!this.chosen.has(promptParts)) {
      const workMs = this.forecast.ownReadMs(promptParts);
      partDemand.record(prefix, workMs);
    }
    const { homes, changed } = partDemand.homes(prefix);
    if (changed) decisionLines.write("part homes", { service, part: prefix, homes });
    const chosen = this.choose(request, homes) ?? this.unreachable(request);
    if (chosen !== undefined) this.chosen.set(promptParts, chosen);
    return chosen;
  }

  /** Begins to account for a request that is sent; undefined if it was not placed here. */
  begin(
    entry: UpstreamEntry,
    promptParts: readonly PromptPart[],
    { streamed }: { readonly streamed: boolean },
  ): EngineWork | undefined {
    const chosen = this.chosen.get(promptParts);
    if (chosen === undefined) return undefined;
    const known = chosen.option.entry.id === entry.id ? chosen : undefined;
    if (known !== undefined) this.parts.forwardMetrics.recordPlacement(entry.service, known.reason);
    const readMs = known?.option.readMs ?? this.forecast.readMs(entry, promptParts, false);
    const expectedMs = this.forecast.expectedMs(entry, readMs);
    const task: EngineTask = {
      entry,
      promptParts,
      readMs,
      expectedMs,
      streamed,
      reason: known?.reason,
    };
    return EngineWork.create(this.workParts, task);
  }

  private choose(request: EngineRequest, homes: number): ChosenEngine | undefined {
    const { service, prefix, candidates, tried, promptParts } = request;
    const { upstreamHealth, engineSpeeds } = this.parts;
    const before = this.chosen.get(promptParts);
    const tryProbe = ({ id: engine }: UpstreamEntry): boolean =>
      (before?.reason === PlacementReason.Probe && before.option.entry.id === engine) ||
      upstreamHealth.of(engine).tryClaimProbe();
    const options: EngineOption[] = [];
    let sound = 0;
    let open = 0;
    for (const entry of this.engineOrder.of(service, prefix, candidates)) {
      if (tried.has(entry.id)) continue;
      const health = upstreamHealth.of(entry.id);
      if (health.unavailable || health.backingOff) continue;
      const slow = engineSpeeds.isSlow(entry.id);
      const option = this.option(entry, promptParts, { slow, isHome: !slow && sound < homes });
      if (health.failing) {
        if (options.length > 0 || !tryProbe(entry)) continue;
        return { option, reason: PlacementReason.Probe };
      }
      if (!slow) sound += 1;
      const full = health.inFlight >= MAX_UTILIZATION * entry.slots;
      options.push({ ...option, full });
      if (!full) open += 1;
      if (open === MAX_OPTIONS) break;
    }
    const id = promptParts.at(-1)?.id ?? "";
    const draw = (purpose: string): number => hashFraction(`${id} ${purpose}`);
    return chooseEngine({ options, homes, draw, tryProbe });
  }

  private option(
    entry: UpstreamEntry,
    promptParts: readonly PromptPart[],
    { slow, isHome }: { slow: boolean; isHome: boolean },
  ): EngineOption {
    const readMs = this.forecast.readMs(entry, promptParts, isHome);
    const rereadMs = isHome ? 0 : this.forecast.rereadMs(entry, promptParts);
    const expectedMs = this.forecast.expectedMs(entry, readMs);
    return { entry, readMs, rereadMs, expectedMs, slow, full: false };
  }

  /** An engine that may be back, of all that are not known to be reachable or sound. */
  private unreachable({ candidates, tried, ...request }: EngineRequest): ChosenEngine | undefined {
    const { upstreamHealth } = this.parts;
    const open = candidates.filter(
      ({ id }) => !tried.has(id) && !upstreamHealth.of(id).unavailable,
    );
    const reachable = open.filter(({ id }) => !upstreamHealth.of(id).backingOff);
    const load = ({ id }: UpstreamEntry): number => upstreamHealth.of(id).inFlight;
    const [first] = this.engineOrder.of(request.service, request.prefix, candidates);
    const least = reachable.reduce<UpstreamEntry | undefined>(
      (best, entry) => (best === undefined || load(entry) < load(best) ? entry : best),
      undefined,
    );
    const entry = least ?? open.find(({ id }) => id === first?.id) ?? open[0];
    if (entry === undefined) return undefined;
    const option = this.option(entry, request.promptParts, { slow: false, isHome: false });
    return { option, reason: PlacementReason.Unreachable };
  }
}
