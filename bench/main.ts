// Runs the decision code of admission and routing on a manual clock and compares it with the stated
// targets and with named baselines.
import { deployments } from "./deployment.js";
import { Policy } from "./policy.js";
import { type Figures, run } from "./run.js";
import { scenarios } from "./scenario.js";
import { targetResults } from "./targets.js";

const SEEDS = [11, 23, 47];

function mean(runs: readonly Figures[], name: string): number {
  return runs.reduce((sum, figures) => sum + (figures[name] ?? 0), 0) / runs.length;
}

const only = process.argv[2];
const policies = process.argv[3] === "all" ? Object.values(Policy) : [Policy.Nutmegstage];
for (const deployment of deployments) {
  for (const scenario of scenarios) {
    if (only !== undefined && only !== "" && !scenario.name.includes(only)) continue;
    for (const policy of policies) {
      const began = performance.now();
      const runs: Figures[] = [];
      for (const seed of SEEDS) runs.push(await run(deployment, scenario, policy, seed));
      const names = Object.keys(runs[0] ?? {});
      const means = Object.fromEntries(names.map((name) => [name, mean(runs, name)]));
      process.stdout.write(
        `${deployment.name} / ${scenario.name} / ${policy} (${Math.round(performance.now() - began)} ms)\n`,
      );
      for (const { name, bound, figure, reached } of targetResults(scenario, means))
        process.stdout.write(
          `  ${reached ? "ok  " : "MISS"} ${name} ${figure.toFixed(3)} (${bound.toFixed(3)})\n`,
        );
      if (process.argv[4] === "v") process.stdout.write(`${JSON.stringify(means, undefined, 1)}\n`);
    }
  }
}
