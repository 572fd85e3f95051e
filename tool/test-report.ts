import { readFile } from "node:fs/promises";
import { z } from "zod";

const envelope = z.object({
  pickle: z.object({ id: z.string(), name: z.string(), uri: z.string() }).optional(),
  testCase: z.object({ id: z.string(), pickleId: z.string() }).optional(),
  testCaseStarted: z.object({ id: z.string(), testCaseId: z.string() }).optional(),
  testStepFinished: z
    .object({
      testCaseStartedId: z.string(),
      testStepResult: z.object({ status: z.string() }),
    })
    .optional(),
  testCaseFinished: z
    .object({ testCaseStartedId: z.string(), willBeRetried: z.boolean() })
    .optional(),
});

/** Result of one scenario. */
export interface ScenarioResult {
  /** `<feature file>: <scenario name>` */
  readonly name: string;
  readonly passed: boolean;
}

/** Reads the scenario results from cucumber's message report. */
export async function scenarioResults(path: string): Promise<ScenarioResult[]> {
  const names = new Map<string, string>();
  const cases = new Map<string, string>();
  const started = new Map<string, string>();
  const failed = new Set<string>();
  const results: ScenarioResult[] = [];
  const lines = (await readFile(path, "utf8")).split("\n").filter((line) => line !== "");
  for (const line of lines) {
    const message = envelope.parse(JSON.parse(line));
    if (message.pickle)
      names.set(message.pickle.id, `${message.pickle.uri}: ${message.pickle.name}`);
    if (message.testCase) cases.set(message.testCase.id, message.testCase.pickleId);
    if (message.testCaseStarted)
      started.set(message.testCaseStarted.id, message.testCaseStarted.testCaseId);
    const step = message.testStepFinished;
    if (step && step.testStepResult.status !== "PASSED") failed.add(step.testCaseStartedId);
    const end = message.testCaseFinished;
    if (end && !end.willBeRetried) {
      const name =
        names.get(cases.get(started.get(end.testCaseStartedId) ?? "") ?? "") ?? "unknown";
      results.push({ name, passed: !failed.has(end.testCaseStartedId) });
    }
  }
  return results;
}
