import type { RandomSource } from "../src/random/random-source.js";
import { LinkState } from "../standin/link-state.js";
import { StoreMode } from "../standin/platform-store.js";
import { UpstreamMode } from "../standin/upstream-mode.js";
import { DaemonSignal, LinkSide, type PlannedFault, type SoakFault } from "./soak-fault.js";

/** Mean time between two disturbances in ms; they last longer, so that they overlap. */
const MEAN_GAP_MS = 400;
const LEAST_MS = 300;
const MEAN_MS = 1_500;
const LONGEST_MS = 6_000;
/** Share of disturbances that come again at once, on other targets. */
const SERIES_SHARE = 0.25;
const SERIES_GAP_MS = 400;

const MEAN_LIMIT_GAP_MS = 4_000;
const MEAN_RESTORE_GAP_MS = 5_000;
const LEAST_LIMIT_MS = 8_000;
const MEAN_BREAK_GAP_MS = 2_000;
const MEAN_ENDLESS_GAP_MS = 4_000;
const MEAN_ISOLATION_GAP_MS = 3_000;
const LEAST_ISOLATION_MS = 4_000;
/** Limits that upstreams state, in requests per second. */
const LIMITS = [0.5, 1, 2, 10];

const HARMED = Object.values(LinkState).filter((state) => state !== LinkState.Open);
/** Modes with draws of their own. */
const ENDLESS = [UpstreamMode.InterimHeads, UpstreamMode.EmptyLines, UpstreamMode.TinyChunks];
const UNWELL = Object.values(UpstreamMode).filter(
  (mode) => mode !== UpstreamMode.Serving && !ENDLESS.includes(mode),
);
const ISOLATING = [LinkState.Refused, LinkState.Resetting, LinkState.Silent];
const AWAY = [StoreMode.Busy, StoreMode.Silent];

/** Sizes of the fleet that a plan is drawn for. */
export interface PlanSize {
  readonly daemons: number;
  readonly upstreams: number;
  /** Time from the first to the last disturbance. */
  readonly lengthMs: number;
}

/** Draws disturbances that come in series and overlap. */
export function drawPlan(random: RandomSource, size: PlanSize): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let atMs = random.exponential(MEAN_GAP_MS);
  while (atMs < size.lengthMs) {
    const forMs = Math.min(LONGEST_MS, LEAST_MS + random.exponential(MEAN_MS));
    const fault = drawFault(random, size);
    plan.push({ atMs, forMs, fault });
    if (random.fraction() < SERIES_SHARE && "target" in fault) {
      const target = (fault.target + 1) % (ofUpstream(fault) ? size.upstreams : size.daemons);
      plan.push({ atMs: atMs + SERIES_GAP_MS, forMs, fault: { ...fault, target } });
    }
    atMs += random.exponential(MEAN_GAP_MS);
  }
  return plan.sort((a, b) => a.atMs - b.atMs);
}

/** Draws limits that upstreams state, each long enough for the bound on it to hold. */
export function drawLimits(random: RandomSource, size: PlanSize): PlannedFault[] {
  return drawTimes(random, size, MEAN_LIMIT_GAP_MS, (atMs) => {
    const perSecond = LIMITS[random.below(LIMITS.length)] ?? 1;
    const target = random.below(size.upstreams);
    const forMs = LEAST_LIMIT_MS + random.exponential(MEAN_MS);
    return { atMs, forMs, fault: { kind: "limit", perSecond, target } };
  });
}

/** Draws restores of the store from copies, one after the other. */
export function drawRestores(random: RandomSource, size: PlanSize): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let atMs = random.exponential(MEAN_RESTORE_GAP_MS);
  while (atMs < size.lengthMs) {
    const forMs = Math.min(LONGEST_MS, LEAST_MS + random.exponential(MEAN_MS));
    plan.push({ atMs, forMs, fault: { kind: "restore" } });
    atMs += forMs + random.exponential(MEAN_RESTORE_GAP_MS);
  }
  return plan;
}

/** Draws upstreams that break their answers off, so that streams are resumed. */
export function drawBreaks(random: RandomSource, size: PlanSize): PlannedFault[] {
  return drawTimes(random, size, MEAN_BREAK_GAP_MS, (atMs) => {
    const target = random.below(size.upstreams);
    const forMs = LEAST_MS + random.exponential(MEAN_MS);
    return { atMs, forMs, fault: { kind: "upstream", mode: UpstreamMode.BreaksOff, target } };
  });
}

/** Draws upstreams that send bytes without end in small pieces. */
export function drawEndless(random: RandomSource, size: PlanSize): PlannedFault[] {
  return drawTimes(random, size, MEAN_ENDLESS_GAP_MS, (atMs) => {
    const target = random.below(size.upstreams);
    const mode = ENDLESS[random.below(ENDLESS.length)] ?? UpstreamMode.TinyChunks;
    const forMs = LEAST_MS + random.exponential(MEAN_MS);
    return { atMs, forMs, fault: { kind: "upstream", mode, target } };
  });
}

/** Draws daemons that lose their links to all upstreams, long enough for the bound on them to hold. */
export function drawIsolations(random: RandomSource, size: PlanSize): PlannedFault[] {
  return drawTimes(random, size, MEAN_ISOLATION_GAP_MS, (atMs) => {
    const state = ISOLATING[random.below(ISOLATING.length)] ?? LinkState.Refused;
    const target = random.below(size.daemons);
    const forMs = LEAST_ISOLATION_MS + random.exponential(MEAN_MS);
    return { atMs, forMs, fault: { kind: "isolation", state, target } };
  });
}

/** Draws disturbances at times that are `meanGapMs` apart on average. */
function drawTimes(
  random: RandomSource,
  { lengthMs }: PlanSize,
  meanGapMs: number,
  draw: (atMs: number) => PlannedFault,
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let atMs = random.exponential(meanGapMs);
  while (atMs < lengthMs) {
    plan.push(draw(atMs));
    atMs += random.exponential(meanGapMs);
  }
  return plan;
}

function ofUpstream(fault: SoakFault): boolean {
  if (fault.kind === "link") return fault.side === LinkSide.Upstream;
  return fault.kind === "upstream" || fault.kind === "leaving";
}

function drawFault(random: RandomSource, size: PlanSize): SoakFault {
  const pick = <Item>(items: readonly Item[]): Item => {
    const item = items[random.below(items.length)];
    if (item === undefined) throw new Error("nothing to pick from");
    return item;
  };
  const daemon = random.below(size.daemons);
  const upstream = random.below(size.upstreams);
  const draws: (() => SoakFault)[] = [
    () => ({ kind: "signal", signal: pick(Object.values(DaemonSignal)), target: daemon }),
    () => {
      const side = pick(Object.values(LinkSide));
      const target = side === LinkSide.Upstream ? upstream : daemon;
      return { kind: "link", side, state: pick(HARMED), target };
    },
    () => ({ kind: "store", mode: pick(AWAY) }),
    () => ({ kind: "history" }),
    () => ({ kind: "upstream", mode: pick(UNWELL), target: upstream }),
    () => ({ kind: "leaving", target: upstream }),
    () => ({ kind: "key" }),
  ];
  return pick(draws)();
}
