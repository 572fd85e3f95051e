import xxhash from "xxhash-wasm";
import type { ErrorContext } from "../error/error-context.js";
import { chooseEngine } from "./engine-choice.js";
import { choosePlain } from "./plain-choice.js";
import type { PromptPart } from "./prompt-part.js";
import type { RouteView } from "./route-view.js";
import type { UpstreamDirectory } from "./upstream-directory.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamStandings } from "./upstream-standings.js";

const hashes = await xxhash();

interface Parts {
  readonly dataCentre: string;
  readonly routeView: RouteView;
  readonly directory: UpstreamDirectory;
  readonly standings: UpstreamStandings;
}

/** Chooses the upstream of a service that gets a request. */
export class UpstreamChoice {
  private constructor(private readonly parts: Parts) {}

  static create(parts: Parts): UpstreamChoice {
    return new UpstreamChoice(parts);
  }

  /** Undefined if no upstream is left. `tried` are ids of upstreams that got the request before. */
  choose(
    service: string,
    promptParts: readonly PromptPart[],
    tried: ReadonlySet<string>,
  ): UpstreamEntry | undefined {
    const { directory, standings, dataCentre, routeView } = this.parts;
    const candidates = standings.open(directory.serving(service));
    const standing = (id: string): ReturnType<UpstreamStandings["of"]> => standings.of(id);
    const engine = routeView.configuration?.services.get(service)?.engine;
    if (engine === undefined) return choosePlain({ candidates, standing, dataCentre, tried });
    const prefix = sharedPrefix(promptParts);
    const weight = (id: string): number => hashes.h32(`${prefix} ${id}`);
    return chooseEngine({ candidates, standing, weight, tried });
  }

  /** When a request that found no upstream should come back, if that is known. */
  returnAfter(service: string): Pick<ErrorContext, "retryAfterMs"> {
    const { directory, standings } = this.parts;
    const opensInMs = standings.opensInMs(directory.serving(service));
    return opensInMs > 0 && opensInMs < Infinity ? { retryAfterMs: opensInMs } : {};
  }
}

/** The last part belongs to one request or session, so the part before it is the last shared one. */
function sharedPrefix(parts: readonly PromptPart[]): string {
  return (parts.at(-2) ?? parts.at(-1))?.id ?? "";
}
