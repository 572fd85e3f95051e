// Prints the closing line of CI from cucumber's report. Scenarios listed in KNOWN-RED.txt are the
// only failures that do not fail the run; they are printed.
import { readFile } from "node:fs/promises";
import { scenarioResults } from "./test-report.js";

const ENTRY_PREFIX = "scenario: ";

const knownRed = (await readFile("KNOWN-RED.txt", "utf8"))
  .split("\n")
  .filter((line) => line.startsWith(ENTRY_PREFIX))
  .map((line) => line.slice(ENTRY_PREFIX.length).trim());
const results = await scenarioResults("reports/cucumber.ndjson");
const failures = results.filter((result) => !result.passed).map((result) => result.name);
const unexpected = failures.filter((name) => !knownRed.includes(name));

for (const name of knownRed) {
  process.stdout.write(`known red: ${name}: ${failures.includes(name) ? "failed" : "passed"}\n`);
}
for (const name of unexpected) process.stdout.write(`failed: ${name}\n`);
process.stdout.write(`${results.length - failures.length} passed, ${failures.length} failed\n`);
process.exitCode = unexpected.length > 0 || results.length === 0 ? 1 : 0;
