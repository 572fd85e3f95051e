import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { Then, When } from "@cucumber/cucumber";
import { Configuration } from "../../src/configuration/configuration.js";
import { ServeError } from "../../src/error/serve-error.js";
import { parseNumberPair } from "../../src/settings/number-pair.js";
import { parseSettings } from "../../src/settings/load-settings.js";

interface Checks {
  errors?: string[];
}

function check(world: Checks, action: () => unknown): void {
  world.errors ??= [];
  try {
    action();
  } catch (error) {
    if (!(error instanceof ServeError)) throw error;
    world.errors.push(error.message);
  }
}

/** A copy of a JSON document with the value at a dotted path replaced. */
function withField(document: unknown, path: string, value: unknown): unknown {
  const copy = structuredClone(document) as Record<string, unknown>;
  const keys = path.split(".");
  const last = keys.pop() ?? "";
  const parent = keys.reduce((node, key) => node[key] as Record<string, unknown>, copy);
  parent[last] = value;
  return copy;
}

async function example(deployment: string, file: string): Promise<unknown> {
  return JSON.parse(await readFile(`examples/${deployment}/${file}.json`, "utf8"));
}

When("the settings {string} are checked", async function (this: Checks, path: string) {
  const text = await readFile(path, "utf8");
  check(this, () => parseSettings(text));
});

When("the configuration {string} is checked", async function (this: Checks, path: string) {
  const document: unknown = JSON.parse(await readFile(path, "utf8"));
  check(this, () => Configuration.create(1, document));
});

When(
  "the settings of {string} are checked with {string} set to {string}",
  async function (this: Checks, deployment: string, path: string, value: string) {
    const changed = withField(await example(deployment, "settings"), path, JSON.parse(value));
    check(this, () => parseSettings(JSON.stringify(changed)));
  },
);

When(
  "the settings of {string} are checked with the first operator repeated",
  async function (this: Checks, deployment: string) {
    const settings = (await example(deployment, "settings")) as {
      operators: { credentials: unknown[] };
    };
    settings.operators.credentials.push(settings.operators.credentials[0]);
    check(this, () => parseSettings(JSON.stringify(settings)));
  },
);

When(
  "the configuration of {string} is checked with {string} set to {string}",
  async function (this: Checks, deployment: string, path: string, value: string) {
    const changed = withField(await example(deployment, "configuration"), path, JSON.parse(value));
    check(this, () => Configuration.create(1, changed));
  },
);

Then("both are valid", function (this: Checks) {
  assert.deepEqual(this.errors, []);
});

Then(/^the error names "(.*)"$/, function (this: Checks, text: string) {
  const [error] = this.errors ?? [];
  assert.ok(error?.includes(text), `${error ?? "no error"} does not name ${text}`);
});

Then(/^the numbers "(.*)" are read as (.+)$/, (text: string, read: string) => {
  assert.equal(pairText(text), read);
});

function pairText(text: string): string {
  try {
    return parseNumberPair("limits", text)
      .map((each) => each ?? "none")
      .join(" and ");
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}
