import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { CallerHosts } from "../support/caller-hosts.js";
import { runClient } from "../support/client-run.js";

const FLOORS = { standard: 0.1, background: 0.02 };

async function assertRun(
  scenario: object,
  options: readonly string[],
  code: number,
  text: string,
  document?: object,
): Promise<void> {
  const { operators } = CallerHosts.of(scenario).first;
  const result = await runClient(operators, options, document);
  assert.equal(result.code, code, result.output);
  assert.ok(result.output.includes(text), result.output);
}

Then(
  "{string} ends with {int} and prints {string}",
  async function (line: string, code: number, text: string) {
    await assertRun(this, line.split(" "), code, text);
  },
);

When("the next {int} answers to changes are lost", function (count: number) {
  CallerHosts.of(this).first.registry.uncertain = count;
});

Then(
  "applying the document with other floors on version {int} ends with {int} and prints {string}",
  async function (version: number, code: number, text: string) {
    const { configuration } = CallerHosts.of(this).first.parts.configurationView;
    const document = { ...configuration?.document, floors: FLOORS };
    const options = ["config", "apply", "document.json", "--base-version", String(version)];
    await assertRun(this, [...options, "--wait"], code, text, document);
  },
);

Then("version {int} has the other floors", function (version: number) {
  const { configurationView } = CallerHosts.of(this).first.parts;
  assert.equal(configurationView.version, version);
  assert.deepEqual(configurationView.configuration?.document.floors, FLOORS);
});
