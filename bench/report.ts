import { mkdir, writeFile } from "node:fs/promises";
import type { Figures } from "./run.js";
import type { TargetResult } from "./targets.js";

/** Results of one scenario with one policy over all seeds. */
export interface ScenarioResult {
  readonly deployment: string;
  readonly scenario: string;
  readonly policy: string;
  readonly mean: Figures;
  readonly least: Figures;
  readonly most: Figures;
  readonly targets: readonly TargetResult[];
}

/** Joins the figures of several seeds. */
export function joined(runs: readonly Figures[], join: (values: number[]) => number): Figures {
  const names = Object.keys(runs[0] ?? {});
  return Object.fromEntries(
    names.map((name) => [name, join(runs.map((figures) => figures[name] ?? 0))]),
  );
}

/** The deterministic table as text: the same seeds print the same lines. */
export function textOf(result: ScenarioResult): string {
  const { deployment, scenario, policy, targets } = result;
  const lines = Object.entries(result.mean).map(([name, mean]) => {
    const spread = `${format(result.least[name])} to ${format(result.most[name])}`;
    return `    ${name.padEnd(32)} ${format(mean)}  (${spread})`;
  });
  const verdicts = targets.map(
    ({ name, bound, figure, reached }) =>
      `  ${reached ? "reached    " : "not reached"} ${name} ${format(figure)}, target ${format(bound)}`,
  );
  return [`${deployment} / ${scenario} / ${policy}`, ...verdicts, ...lines, ""].join("\n");
}

/** Writes `reports/bench.json` and `reports/bench.html`. */
export async function writeReport(results: readonly ScenarioResult[]): Promise<void> {
  await mkdir("reports", { recursive: true });
  await writeFile("reports/bench.json", `${JSON.stringify(results, undefined, 2)}\n`);
  const names = [...new Set(results.flatMap(({ mean }) => Object.keys(mean)))];
  const head = ["deployment", "scenario", "policy", "not reached", ...names];
  const rows = results.map(({ deployment, scenario, policy, mean, targets }) => {
    const missed = targets.filter(({ reached }) => !reached).map(({ name }) => name);
    const cells = names.map((name) => format(mean[name]));
    return [deployment, scenario, policy, missed.join(", "), ...cells];
  });
  const table = [head, ...rows].map((row) => `<tr><td>${row.join("</td><td>")}</td></tr>`);
  const page = `<!doctype html><title>Bench</title><table border="1">${table.join("\n")}</table>\n`;
  await writeFile("reports/bench.html", page);
}

function format(value = 0): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(3);
}
