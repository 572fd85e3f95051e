import type { UpstreamEntry } from "../forward/upstream-entry.js";
import type { EngineOption } from "./engine-option.js";
import { PlacementReason } from "./placement-reason.js";

/** Time that must be gained for a request to leave its home, in ms. */
const MIN_GAIN_MS = 150;
/** Share of the time for reading parts again that counts as a price beside the time itself. */
const REREAD_PRICE = 0.5;
/** Engines after the homes among which requests that leave are spread. */
const FALLBACKS = 3;
/** Share of the requests of a slow home that tell whether it is still slow. */
const PROBE_SHARE = 0.08;

/** Input of the choice. */
export interface EngineChoice {
  /** In rendezvous order of the prefix. */
  readonly options: readonly EngineOption[];
  /** Number of engines that keep the prefix. */
  readonly homes: number;
  /** A number in [0, 1) for each purpose, the same for all choices for one request. */
  readonly draw: (purpose: string) => number;
  /** Claims a probe of a slow engine; false if this instance has probed it lately. */
  readonly tryProbe: (entry: UpstreamEntry) => boolean;
}

/** The engine for a request, and why. */
export interface ChosenEngine {
  readonly option: EngineOption;
  readonly reason: PlacementReason;
}

/**
 * Chooses one of the homes by the request, or another engine if that is faster by more than the
 * price of reading the parts again. Only as many requests leave as the gain is worth, and they are
 * spread over two of the fallbacks by load: many instances choose at once on the same figures.
 */
export function chooseEngine(choice: EngineChoice): ChosenEngine | undefined {
  const { options, homes, draw } = choice;
  const open = options.filter(({ full }) => !full);
  const first = open[0];
  if (first === undefined) return leastOption(options);
  if (first.slow && draw("probe") < PROBE_SHARE && choice.tryProbe(first.entry))
    return { option: first, reason: PlacementReason.Probe };
  const sound = open.filter(({ slow }) => !slow);
  const candidates = sound.length > 0 ? sound : open;
  const keeping = Math.min(homes, candidates.length);
  const at = Math.floor(draw("home") * keeping);
  const home = candidates[at] ?? first;
  const faster = fasterOption(home, open, draw);
  if (faster !== undefined) return { option: faster, reason: PlacementReason.Faster };
  return { option: home, reason: at === 0 ? PlacementReason.Home : PlacementReason.FurtherHome };
}

/** If all are full, how soon they respond tells more than where the parts are kept. */
function leastOption(options: readonly EngineOption[]): ChosenEngine | undefined {
  let least = options[0];
  if (least === undefined) return undefined;
  for (const option of options) if (option.expectedMs < least.expectedMs) least = option;
  const reason = least === options[0] ? PlacementReason.Home : PlacementReason.Faster;
  return { option: least, reason };
}

function fasterOption(
  home: EngineOption,
  usable: readonly EngineOption[],
  draw: EngineChoice["draw"],
): EngineOption | undefined {
  const fallbacks = usable.filter((option) => option !== home).slice(0, FALLBACKS);
  const at = Math.floor(draw("fallback") * fallbacks.length);
  const one = fallbacks[at];
  const other = fallbacks[(at + 1) % Math.max(1, fallbacks.length)];
  if (one === undefined || other === undefined) return undefined;
  const fallback = cost(other) < cost(one) ? other : one;
  const gainMs = cost(home) - cost(fallback);
  if (gainMs < MIN_GAIN_MS || draw("leave") >= gainMs / home.expectedMs) return undefined;
  return fallback;
}

function cost({ expectedMs, rereadMs }: EngineOption): number {
  return expectedMs + REREAD_PRICE * rereadMs;
}
