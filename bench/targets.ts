import type { Configuration } from "../src/configuration/configuration.js";
import { Rank } from "../src/configuration/rank.js";
import type { Figures } from "./run.js";
import { Fault, type Scenario } from "./scenario.js";

/** A stated target of section 9 of the design and whether a run reached it. */
export interface TargetResult {
  readonly name: string;
  readonly bound: number;
  readonly figure: number;
  readonly reached: boolean;
}

const URGENT_ATTAINMENT = 0.99;
const URGENT_OF_ORACLE = 0.95;
const GOODPUT = 0.9;
const EXTRA_ATTEMPTS = 0.1;
const SMALL_TEAM = 0.95;

/** Compares the mean figures of a scenario with the stated targets that apply to it. */
export function targetResults(
  scenario: Scenario,
  figures: Figures,
  configuration: Configuration,
): TargetResult[] {
  const results: TargetResult[] = [];
  const check = (name: string, bound: number): void => {
    const figure = figures[name] ?? 0;
    results.push({ name, bound, figure, reached: figure >= bound });
  };
  const atMost = (name: string, bound: number): void => {
    const figure = figures[name] ?? 0;
    results.push({ name, bound, figure, reached: figure <= bound });
  };
  atMost("not-run that ran", 0);
  atMost("extra attempts", EXTRA_ATTEMPTS);
  // No scheduler serves the requests whose engines are all lost.
  if (scenario.fault === Fault.LostEngines) return results;
  const { urgent, standard, background } = scenario.offered;
  const total = urgent + standard + background + scenario.greedy;
  if (urgent > 1) check("urgent against oracle", URGENT_OF_ORACLE);
  else check("urgent attainment", URGENT_ATTAINMENT);
  if (total > 1) {
    check("goodput", GOODPUT);
    for (const rank of [Rank.Standard, Rank.Background]) {
      const offered = figures[`${rank} offered of capacity`] ?? 0;
      check(`${rank} share of capacity`, Math.min(configuration.floor(rank), offered));
    }
  } else {
    check("standard attainment", 0.9);
    check("background attainment", 0.5);
  }
  if (scenario.greedy > 0 || (total <= 1 && scenario.fault === Fault.None))
    check("smallest team", SMALL_TEAM);
  return results;
}
