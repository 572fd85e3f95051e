import { Rank } from "../src/configuration/rank.js";

/** What happens to the upstreams in the middle of a run. */
export enum Fault {
  None = "none",
  Stragglers = "stragglers",
  LostThird = "lost-third",
  LostDataCentre = "lost-data-centre",
  LostEngines = "lost-engines",
}

/** One situation that the bench runs. */
export interface Scenario {
  readonly name: string;
  /** Offered work of each rank as a multiple of the capacity. */
  readonly offered: Readonly<Record<Rank, number>>;
  /** Offered work that the largest team adds, as a multiple of the capacity. */
  readonly greedy: number;
  /** Time at which the work beyond the steady mix begins, in ms. */
  readonly surgeMs: number;
  readonly fault: Fault;
  /** Time between load reports of an upstream, in ms. */
  readonly reportMs: number;
}

/** Offered work of each rank in steady operation, as a multiple of the capacity. */
export const mix = { [Rank.Urgent]: 0.2, [Rank.Standard]: 0.3, [Rank.Background]: 0.2 };
const base = { offered: mix, greedy: 0, surgeMs: 0, fault: Fault.None, reportMs: 250 };
/** The fair share of one of five teams is a fifth of the capacity. */
const FIFTY_SHARES = 10;
/** Within the measured time, when all rates are known from the steady mix. */
const SURGE_MS = 4_000;

export const scenarios: readonly Scenario[] = [
  { ...base, name: "steady mix" },
  { ...base, name: "background flood x5", offered: { ...mix, [Rank.Background]: 5 } },
  { ...base, name: "background flood x20", offered: { ...mix, [Rank.Background]: 20 } },
  { ...base, name: "urgent flood x5", offered: { ...mix, [Rank.Urgent]: 5 } },
  { ...base, name: "one team at 50 shares", greedy: FIFTY_SHARES },
  {
    ...base,
    name: "background flood x20 begins",
    offered: { ...mix, [Rank.Background]: 20 },
    surgeMs: SURGE_MS,
  },
  { ...base, name: "one team at 50 shares begins", greedy: FIFTY_SHARES, surgeMs: SURGE_MS },
  { ...base, name: "all engines lost", fault: Fault.LostEngines },
  { ...base, name: "straggler in each stage", fault: Fault.Stragglers },
  { ...base, name: "a third lost", fault: Fault.LostThird },
  { ...base, name: "a data centre lost", fault: Fault.LostDataCentre },
  { ...base, name: "load reports 3 s late", reportMs: 3_000 },
  {
    ...base,
    name: "flood x5 and a third lost",
    offered: { ...mix, [Rank.Background]: 5 },
    fault: Fault.LostThird,
  },
];
