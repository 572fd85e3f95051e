import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { BufferBudget } from "../../src/buffer/buffer-budget.js";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import type { ResponseWriter } from "../../src/forward/response-writer.js";
import { CrashRegistry } from "../../src/forward/crash-registry.js";
import { EventSplitter } from "../../src/forward/event-splitter.js";
import { RetryBudget } from "../../src/forward/retry-budget.js";
import { RefusalWriter } from "../../src/forward/refusal-writer.js";
import { RouteTable } from "../../src/forward/route-table.js";
import { RouteView } from "../../src/forward/route-view.js";
import { UpstreamDirectory } from "../../src/forward/upstream-directory.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { configurationOf, entryOf, routeOf } from "../support/forward-samples.js";
import { MemoryUpdates } from "../support/memory-updates.js";

const RETENTION_MS = 2_000;
const SEED = 11;

interface DecisionWorld {
  table: RouteTable;
  view: RouteView;
  changes: number;
  timers: ManualTimers;
  directory: UpstreamDirectory;
  budgets: RetryBudget[];
  retries: number;
  crashRegistries: CrashRegistry[];
}

Given(
  "routes for {string} with prefixes {string}, {string} and {string}",
  function (this: DecisionWorld, host: string, a: string, b: string, c: string) {
    this.table = RouteTable.create([a, b, c].map((prefix) => routeOf({ host, prefix })));
  },
);

Then(
  "{string} of host {string} goes to the route with prefix {string}",
  function (this: DecisionWorld, target: string, host: string, prefix: string) {
    assert.equal(this.table.find(host, target)?.prefix, prefix);
  },
);

Then(
  "{string} of host {string} has no route",
  function (this: DecisionWorld, target: string, host: string) {
    assert.equal(this.table.find(host, target), undefined);
  },
);

When(
  "the configurations {int}, {int} and {int} arrive",
  function (this: DecisionWorld, a: number, b: number, c: number) {
    this.view = RouteView.create();
    this.changes = 0;
    this.view.subscribe(() => {
      this.changes += 1;
    });
    for (const version of [a, b, c]) this.view.adopt(configurationOf({ version }));
  },
);

Then(
  "version {int} is in force after {int} changes",
  function (this: DecisionWorld, version: number, changes: number) {
    assert.equal(this.view.version, version);
    assert.equal(this.changes, changes);
  },
);

Given(
  "the upstreams {string} and {string} of service {string}",
  function (this: DecisionWorld, a: string, b: string, service: string) {
    this.timers = ManualTimers.create();
    this.directory = UpstreamDirectory.create({ timers: this.timers });
    this.directory.apply(
      [a, b].map((id) => [id, entryOf({ id, service })]),
      0,
    );
  },
);

When("{string} reports that it is draining", function (this: DecisionWorld, id: string) {
  this.directory.apply([[id, entryOf({ id, service: "s", draining: true })]], 0);
});

Then(
  "service {string} is served by {string}",
  function (this: DecisionWorld, service: string, ids: string) {
    assert.equal(
      this.directory
        .forService(service)
        .map(({ id }) => id)
        .join(","),
      ids,
    );
  },
);

When(
  "the entries of {string} and {string} expire after a store outage",
  function (this: DecisionWorld, a: string, b: string) {
    this.directory.apply(
      [
        [a, undefined],
        [b, undefined],
      ],
      RETENTION_MS,
    );
  },
);

When("{string} is listed again within a second", async function (this: DecisionWorld, id: string) {
  await this.timers.advance(900);
  this.directory.apply([[id, entryOf({ id, service: "s" })]], RETENTION_MS);
});

When("two seconds pass", async function (this: DecisionWorld) {
  await this.timers.advance(RETENTION_MS);
});

Given(
  "{int} instances share a budget of {float} and {int} in {int} ms",
  function (this: DecisionWorld, count: number, ratio: number, slack: number, windowMs: number) {
    this.timers = ManualTimers.create();
    this.retries = 0;
    this.budgets = Array.from({ length: count }, () =>
      RetryBudget.create({
        timers: this.timers,
        retryBudgetLimits: { ratio, slack, windowMs },
        liveInstances: () => count,
      }),
    );
  },
);

When(
  "each receives {int} requests and retries continuously for {int} ms",
  async function (this: DecisionWorld, requests: number, ms: number) {
    for (const budget of this.budgets) {
      for (let at = 0; at < requests; at += 1) budget.recordRequest("s");
    }
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 100) {
      for (const budget of this.budgets) if (budget.tryTakeRetry("s")) this.retries += 1;
      await this.timers.advance(100);
    }
  },
);

When("{int} ms go by", async function (this: DecisionWorld, ms: number) {
  await this.timers.advance(ms);
});

Then("together they made at most {int} retries", function (this: DecisionWorld, max: number) {
  assert.ok(this.retries > 0);
  assert.ok(this.retries <= max, `${this.retries}`);
});

Then("another retry is allowed", function (this: DecisionWorld) {
  assert.ok(this.budgets[0]?.tryTakeRetry("s"));
});

Then("any event stream split at any points is relayed unchanged", function () {
  const event = fc
    .tuple(fc.nat(999), fc.constantFrom("\n", "\r\n"), fc.string({ maxLength: 12 }))
    .map(([id, end, text]) => `id: ${id}${end}data: ${text.replace(/[\r\n]/g, "")}${end}${end}`);
  fc.assert(
    fc.property(fc.array(event), fc.array(fc.nat(200)), fc.string(), (events, cuts, rest) => {
      const whole = Buffer.from(`${events.join("")}${rest}`);
      const splitter = EventSplitter.create(BufferBudget.create());
      const relayedChunks: Buffer[] = [];
      let from = 0;
      for (const cut of [...cuts, whole.length]) {
        const to = Math.min(whole.length, from + cut);
        const completed = splitter.push(whole.subarray(from, to));
        if (completed !== undefined) relayedChunks.push(completed.bytes);
        from = to;
      }
      assert.deepEqual(Buffer.concat([...relayedChunks, splitter.remainder]), whole);
    }),
    { seed: SEED },
  );
});

Given("two instances that share crash reports", function (this: DecisionWorld) {
  this.timers = ManualTimers.create();
  const updates = MemoryUpdates.create(this.timers);
  this.crashRegistries = ["a", "b"].map((id) =>
    CrashRegistry.create({ timers: this.timers, updates: updates.of(id) }),
  );
});

When(
  /^(?:a|the) content crashes upstream "(.+)" at the (first|second) instance$/,
  async function (this: DecisionWorld, upstream: string, which: string) {
    this.crashRegistries[which === "first" ? 0 : 1]?.recordCrash("digest", {
      id: upstream,
      service: "s",
      startedMs: 1,
    });
    await this.timers.advance(100);
  },
);

Then("the second instance still accepts it", function (this: DecisionWorld) {
  this.crashRegistries[1]?.check("digest");
});

Then("both instances refuse it", function (this: DecisionWorld) {
  for (const crashRegistry of this.crashRegistries) {
    assert.throws(
      () => {
        crashRegistry.check("digest");
      },
      { kind: ErrorKind.RequestSuspected },
    );
  }
});

function writeRefusal(error: ServeError): { status: number; headers: readonly string[] } {
  let headers: readonly string[] = [];
  const writer: Pick<ResponseWriter, "send"> = {
    send: (_status, sent) => {
      headers = sent;
    },
  };
  const refusalWriter = RefusalWriter.create({ random: RandomSource.create(SEED) });
  const status = refusalWriter.write(writer, error);
  return { status, headers };
}

Then("an overload refusal is answered 503 with a retry delay", function () {
  const { status, headers } = writeRefusal(ServeError.create(ErrorKind.Overloaded, "full"));
  assert.equal(status, 503);
  assert.ok(headers.includes("retry-after"));
});

Then("the same error after a stage call is answered 502 without a retry delay", function () {
  const error = ServeError.create(ErrorKind.Overloaded, "full").afterDispatch();
  const { status, headers } = writeRefusal(error);
  assert.equal(status, 502);
  assert.ok(!headers.includes("retry-after"));
});
