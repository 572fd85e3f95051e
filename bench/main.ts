// Runs the decision code of admission and routing on a manual clock and compares it with the stated
// targets and with named baselines. Arguments: part of a scenario name, or "spread".
import { readFile } from "node:fs/promises";
import { configurationOf, deployments } from "./deployment.js";
import { measureDecisionCost } from "./decision-cost.js";
import { Policy } from "./policy.js";
import { type ScenarioResult, joined, textOf, writeReport } from "./report.js";
import { type Figures, run } from "./run.js";
import { scenarios } from "./scenario.js";
import { targetResults } from "./targets.js";

const SEEDS = [11, 23];
/** Baselines queue without bound, so that they run in these scenarios only. */
const BASELINE_SCENARIOS = ["steady mix", "background flood x5"];
const ENTRY = "bench: ";

const only = process.argv[2] ?? "";
if (only === "spread") await import("./spread.js");
const knownRed = (await readFile("KNOWN-RED.txt", "utf8"))
  .split("\n")
  .filter((line) => line.startsWith(ENTRY))
  .map((line) => line.slice(ENTRY.length).trim());
const results: ScenarioResult[] = [];
const broken: string[] = [];
for (const deployment of deployments) {
  for (const scenario of scenarios.filter(({ name }) => name.includes(only))) {
    for (const policy of Object.values(Policy)) {
      const own = policy === Policy.Nutmegstage;
      if (!own && !BASELINE_SCENARIOS.includes(scenario.name)) continue;
      const seeds = own ? SEEDS : SEEDS.slice(0, 1);
      const runs: Figures[] = [];
      for (const seed of seeds) runs.push(await run(deployment, scenario, policy, seed));
      const mean = joined(runs, (values) => values.reduce((sum, one) => sum + one) / runs.length);
      const result = {
        deployment: deployment.name,
        scenario: scenario.name,
        policy,
        mean,
        least: joined(runs, (values) => Math.min(...values)),
        most: joined(runs, (values) => Math.max(...values)),
        targets: targetResults(scenario, mean, configurationOf(deployment)),
      };
      results.push(result);
      process.stdout.write(`${textOf(result)}\n`);
      if (!own) continue;
      for (const { name, reached } of result.targets) {
        if (!reached) broken.push(`${deployment.name}: ${scenario.name}: ${name}`);
      }
    }
  }
}
await writeReport(results);
for (const name of broken) {
  process.stdout.write(`${knownRed.includes(name) ? "known red" : "broken"}: ${name}\n`);
}
if (only === "") await measureDecisionCost();
process.exitCode = broken.some((name) => !knownRed.includes(name)) ? 1 : 0;
