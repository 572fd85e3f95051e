import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { OPERATOR_CREDENTIAL } from "../../standin/fleet.js";
import { CallerHosts } from "../support/caller-hosts.js";

const SEED = 20_264;
const ROUTES = [
  ["GET", "/v1/status"],
  ["GET", "/v1/configuration"],
  ["GET", "/v1/configuration/changes"],
  ["POST", "/v1/configuration/changes"],
  ["PUT", "/v1/classes/chat/target"],
  ["GET", "/v1/upstreams"],
  ["POST", "/v1/upstreams"],
  ["DELETE", "/v1/upstreams/advice-1"],
  ["GET", "/v1/requests/x"],
] as const;

interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

async function ask(
  scenario: object,
  method: string,
  path: string,
  body?: unknown,
  credential = OPERATOR_CREDENTIAL,
): Promise<Answer> {
  const { operators } = CallerHosts.of(scenario).first;
  const response = await fetch(operators + path, {
    method,
    headers: {
      authorization: `Bearer ${credential}`,
      ...(body === undefined ? {} : { "content-type": "application/json" }),
    },
    body: body === undefined ? null : JSON.stringify(body),
  });
  return { status: response.status, body: (await response.json()) as Record<string, unknown> };
}

Then("an operator with an unknown credential gets 401 from every route", async function () {
  for (const [method, path] of ROUTES) {
    const { status, body } = await ask(this, method, path, undefined, "unknown");
    assert.deepEqual([method, path, status, body.kind], [method, path, 401, "unauthenticated"]);
  }
});

Then(
  "the status has version {int}, {int} upstreams and is ready",
  async function (version: number, upstreams: number) {
    const { body } = await ask(this, "GET", "/v1/status");
    assert.deepEqual(
      [body.configurationVersion, body.ready, (body.upstreams as object[]).length],
      [version, true, upstreams],
    );
  },
);

When(
  "the target of {string} is set to {int} ms and {float} with a lost answer and sent again",
  async function (name: string, timeMs: number, share: number) {
    CallerHosts.of(this).first.registry.uncertain = 1;
    const body = { changeId: "change-of-target", timeMs, share };
    const path = `/v1/classes/${name}/target`;
    assert.equal((await ask(this, "PUT", path, body)).body.kind, "table-uncertain");
    assert.equal((await ask(this, "PUT", path, body)).status, 200);
  },
);

Then(
  "version {int} is in force with that target and the history has {int} change",
  async function (version: number, changes: number) {
    const { body } = await ask(this, "GET", "/v1/configuration");
    const { classes } = body.document as { classes: { name: string; target: object }[] };
    const chat = classes.find(({ name }) => name === "chat");
    assert.deepEqual([body.version, chat?.target], [version, { timeMs: 2_500, share: 0.8 }]);
    const history = await ask(this, "GET", "/v1/configuration/changes");
    assert.equal((history.body.changes as object[]).length, changes);
  },
);

Then(
  "a change of version {int} gets {int} {string}",
  async function (baseVersion: number, status: number, kind: string) {
    const floors = { standard: 0.1, background: 0.1 };
    const body = { changeId: "change-1", baseVersion, updates: [{ kind: "floors", floors }] };
    const answer = await ask(this, "POST", "/v1/configuration/changes", body);
    assert.deepEqual([answer.status, answer.body.kind], [status, kind]);
  },
);

Then(
  "a dry check of an upstream of an unknown service gets {int} and version {int} stays in force",
  async function (status: number, version: number) {
    const entry = { id: "x", service: "none", address: "http://127.0.0.1:1", dataCentre: "fes-a" };
    const updates = [{ kind: "put", section: "upstreams", entry }];
    const body = { changeId: "change-1", baseVersion: 1, updates, dryRun: true };
    const answer = await ask(this, "POST", "/v1/configuration/changes", body);
    assert.equal(answer.status, status);
    assert.equal(CallerHosts.of(this).first.parts.configurationView.version, version);
  },
);

Then(
  "removing upstream {string} marks it as leaving and removing it now deletes it",
  async function (id: string) {
    const { configurationView } = CallerHosts.of(this).first.parts;
    const state = (): string | undefined =>
      configurationView.configuration?.document.upstreams.find((entry) => entry.id === id)?.state;
    await ask(this, "DELETE", `/v1/upstreams/${id}?changeId=removal-1`);
    assert.equal(state(), "leaving");
    await ask(this, "DELETE", `/v1/upstreams/${id}?changeId=removal-2&mode=now`);
    assert.equal(state(), undefined);
  },
);

Then(
  "a target with share {float} is refused with {string}",
  async function (share: number, detail: string) {
    const body = { changeId: "change-1", timeMs: 100, share };
    const answer = await ask(this, "PUT", "/v1/classes/chat/target", body);
    assert.equal(answer.status, 400);
    assert.ok(String(answer.body.detail).startsWith(detail), String(answer.body.detail));
  },
);

Then("an update of a class without rank is refused with {string}", async function (detail: string) {
  const entry = { name: "chat", target: { timeMs: 1, share: 1 } };
  const updates = [{ kind: "put", section: "classes", entry }];
  const body = { changeId: "change-1", baseVersion: 1, updates };
  const answer = await ask(this, "POST", "/v1/configuration/changes", body);
  assert.equal(answer.status, 400);
  assert.ok(String(answer.body.detail).startsWith(detail), String(answer.body.detail));
});

Then("any operator body gets an answer below 500", async function () {
  const update = fc.record({
    kind: fc.constantFrom("put", "remove", "floors"),
    section: fc.constantFrom("classes", "upstreams"),
    entry: fc.jsonValue(),
  });
  const bodies = fc.oneof(
    fc.jsonValue(),
    fc.record({
      changeId: fc.string({ maxLength: 20 }),
      baseVersion: fc.integer(),
      updates: fc.oneof(fc.jsonValue(), fc.array(fc.oneof(update, fc.jsonValue()))),
    }),
  );
  const routes = fc.constantFrom(...ROUTES.filter(([method]) => method.startsWith("P")));
  const property = fc.asyncProperty(routes, bodies, async ([method, path], body) => {
    const { status } = await ask(this, method, path, body);
    assert.ok(status >= 400 && status < 500, String(status));
  });
  await fc.assert(property, { seed: SEED, numRuns: 150, includeErrorInReport: true });
});
