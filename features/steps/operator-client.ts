import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Then, When } from "@cucumber/cucumber";
import { OPERATOR_CREDENTIAL } from "../../standin/fleet.js";
import { CallerHosts } from "../support/caller-hosts.js";

const PROGRAM = fileURLToPath(new URL("../../src/program/nutmegstage.js", import.meta.url));
const FLOORS = { standard: 0.1, background: 0.02 };

async function assertRun(
  scenario: object,
  options: readonly string[],
  code: number,
  text: string,
  document?: object,
): Promise<void> {
  const directory = await mkdtemp(join(tmpdir(), "nutmegstage-"));
  const credential = join(directory, "credential");
  await writeFile(credential, OPERATOR_CREDENTIAL);
  await writeFile(join(directory, "document.json"), JSON.stringify(document ?? {}));
  const env = {
    ...process.env,
    NUTMEGSTAGE_SERVER: CallerHosts.of(scenario).first.operators,
    NUTMEGSTAGE_CREDENTIAL_FILE: credential,
  };
  const result = await new Promise<{ code: number; output: string }>((resolve) => {
    const command = [PROGRAM, ...options];
    execFile(process.execPath, command, { env, cwd: directory }, (error, out, err) => {
      resolve({ code: Number(error?.code ?? 0), output: out + err });
    });
  });
  await rm(directory, { recursive: true });
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
