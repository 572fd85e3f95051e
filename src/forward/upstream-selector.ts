import type { PromptGuard } from "../crash/prompt-guard.js";
import type { EnginePlacement } from "../engine/engine-placement.js";
import type { ChosenEngine } from "../engine/engine-choice.js";
import type { ErrorContext } from "../error/error-context.js";
import { selectPlainUpstream } from "./plain-selection.js";
import { type PromptPart, sharedPartIds } from "./prompt-part.js";
import type { RouteView } from "./route-view.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamHealthRegistry } from "./upstream-health-registry.js";

interface Parts {
  readonly dataCentre: string;
  readonly routeView: RouteView;
  readonly directory: UpstreamDirectory;
  readonly upstreamHealth: UpstreamHealthRegistry;
  readonly promptGuard: Pick<PromptGuard, "suspectAmong">;
  readonly enginePlacement: Pick<EnginePlacement, "place">;
}

/** Selects the upstream of a service for a request. */
export class UpstreamSelector {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): UpstreamSelector {
    return new UpstreamSelector(parts);
  }

  /** Undefined if no upstream is left; `tried` holds the IDs of upstreams already attempted. */
  select(
    service: string,
    promptParts: readonly PromptPart[],
    tried: ReadonlySet<string>,
  ): UpstreamEntry | undefined {
    if (this.isEngine(service)) return this.placeAt(service, promptParts, tried)?.option.entry;
    const { directory, upstreamHealth, dataCentre } = this.parts;
    const candidates = upstreamHealth.available(directory.forService(service));
    const healthOf = (id: string): ReturnType<UpstreamHealthRegistry["of"]> =>
      upstreamHealth.of(id);
    return selectPlainUpstream({ candidates, healthOf, dataCentre, tried });
  }

  /**
   * Expected time from the dispatch of a request to an engine until its first event, in ms.
   * Undefined if the service has no engines, or none is left.
   */
  expectedFirstEventMs(service: string, promptParts: readonly PromptPart[]): number | undefined {
    if (!this.isEngine(service)) return undefined;
    return this.placeAt(service, promptParts, new Set())?.option.expectedMs;
  }

  /** Retry delay for a request that found no upstream; empty if it is 0 or unknown. */
  retryAfter(service: string): Pick<ErrorContext, "retryAfterMs"> {
    const { directory, upstreamHealth } = this.parts;
    const opensInMs = upstreamHealth.availableInMs(directory.forService(service));
    return opensInMs > 0 && opensInMs < Infinity ? { retryAfterMs: opensInMs } : {};
  }

  private isEngine(service: string): boolean {
    return this.parts.routeView.configuration?.services.get(service)?.engine !== undefined;
  }

  private placeAt(
    service: string,
    promptParts: readonly PromptPart[],
    tried: ReadonlySet<string>,
  ): ChosenEngine | undefined {
    const { directory, promptGuard, enginePlacement } = this.parts;
    const suspect = promptGuard.suspectAmong(service, sharedPartIds(promptParts));
    const prefix = suspect ?? sharedPrefix(promptParts);
    const candidates = directory.forService(service);
    return enginePlacement.place({ service, prefix, promptParts, candidates, tried });
  }
}

/** The last part is private to a request or session; the part before it is the last shared one. */
function sharedPrefix(parts: readonly PromptPart[]): string {
  return (parts.at(-2) ?? parts.at(-1))?.id ?? "";
}
