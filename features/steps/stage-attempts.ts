import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { SystemTimers } from "../../src/time/system-timers.js";
import type { GenerateRequest } from "../../src/upstream/generate-request.js";
import type { Token } from "../../src/upstream/token.js";
import { StageHarness } from "../support/stage-harness.js";
import type { ScenarioWorld } from "../support/world.js";

const runsByWorld = new WeakMap<ScenarioWorld, { harness: StageHarness; first: number }>();

function finishedRun(world: ScenarioWorld): { harness: StageHarness; first: number } {
  const found = runsByWorld.get(world);
  if (found === undefined) throw new Error("the scenario ran no request");
  return found;
}

function upstreamFailure(undispatched = false): ServeError {
  return ServeError.create(ErrorKind.UpstreamFailed, "fault", { undispatched });
}

/** Streams the rest of an answer; fails after `tokens` tokens and adds `shift` to later indexes. */
async function* stream(
  request: GenerateRequest,
  tokens: number,
  shift: number,
): AsyncGenerator<Token> {
  await Promise.resolve();
  for (let at = request.receivedTokens; at < request.maxTokens; at += 1) {
    if (at - request.receivedTokens === tokens) throw upstreamFailure();
    const index = at === request.receivedTokens ? at : at + shift;
    yield { index, text: ` w${index}` };
  }
  if (request.maxTokens - request.receivedTokens === tokens) throw upstreamFailure();
}

When(
  "{int} requests run over {int} s while every upstream fails",
  async function (this: ScenarioWorld, first: number, seconds: number) {
    const harness = StageHarness.create({ generate: (request) => stream(request, 0, 0) });
    for (let at = 0; at < first; at += 1) {
      await assert.rejects(harness.run("advice"));
      await harness.timers.advance((seconds * 1_000) / first);
    }
    runsByWorld.set(this, { harness, first });
  },
);

Then(
  "retries are fewer than {float} of the first attempts",
  function (this: ScenarioWorld, maxFraction: number) {
    const { harness, first } = finishedRun(this);
    const retriedFraction = (harness.attempts.length - first) / first;
    assert.ok(
      retriedFraction > 0 && retriedFraction < maxFraction,
      `${retriedFraction} retries per first attempt`,
    );
  },
);

Then(
  "every stream that breaks at random places is answered completely or fails",
  async function () {
    const faults = fc.record({ tokens: fc.nat(14), shift: fc.constantFrom(0, 0, 0, -1, 1) });
    await fc.assert(
      fc.asyncProperty(fc.array(faults, { maxLength: 4 }), async (faultList) => {
        const rest = [...faultList];
        const harness = StageHarness.create({
          generate: (request) => {
            const { tokens, shift } = rest.shift() ?? { tokens: Infinity, shift: 0 };
            return stream(request, tokens, shift);
          },
        });
        try {
          const { texts } = await harness.run("advice");
          assert.deepEqual(
            texts,
            Array.from({ length: 12 }, (_, at) => ` w${at}`),
          );
        } catch (error) {
          if (!(error instanceof ServeError)) throw error;
          assert.equal(error.kind, ErrorKind.UpstreamFailed);
        }
      }),
    );
  },
);

When(
  "a request runs on a pool that still offers a leaving upstream",
  async function (this: ScenarioWorld) {
    const harness = StageHarness.create({
      leaving: ["advice-1"],
      generate: (request) => stream(request, Infinity, 0),
    });
    await harness.run("advice");
    runsByWorld.set(this, { harness, first: 1 });
  },
);

Then("the leaving upstream got no work", function (this: ScenarioWorld) {
  assert.deepEqual(finishedRun(this).harness.attempts, ["advice-2"]);
});

When(
  "{string} crashes and {string} leaves before the suspect runs there",
  async function (this: ScenarioWorld, crashed: string, leaving: string) {
    const harness = StageHarness.create({
      generate: (request, upstream) => {
        if (upstream === crashed) throw ServeError.create(ErrorKind.UpstreamCrashed, "ended");
        return stream(request, Infinity, 0);
      },
    });
    const run = harness.run("advice");
    await harness.timers.advance(50);
    harness.markLeaving(leaving);
    await harness.timers.advance(1_000);
    await run;
    runsByWorld.set(this, { harness, first: 1 });
  },
);

Then(
  "the attempts were on {string} and {string}",
  function (this: ScenarioWorld, first: string, second: string) {
    assert.deepEqual(finishedRun(this).harness.attempts, [first, second]);
  },
);

Then(
  "a sleep that is cancelled with {string} rejects with that error",
  async function (this: ScenarioWorld, kind: string) {
    const stop = new AbortController();
    const sleep = SystemTimers.create().sleep(10_000, stop.signal);
    stop.abort(ServeError.create(ErrorKind.DeadlineExceeded, "the deadline has passed"));
    await assert.rejects(sleep, { name: "ServeError", kind });
  },
);

Then(
  "calls that must not be sent twice are retried only if nothing was dispatched",
  async function () {
    await fc.assert(
      fc.asyncProperty(fc.array(fc.boolean(), { maxLength: 2 }), async (undispatched) => {
        const rest = [...undispatched];
        const harness = StageHarness.create({
          call: () => {
            const next = rest.shift();
            return next === undefined ? Promise.resolve({}) : Promise.reject(upstreamFailure(next));
          },
        });
        const handedOver = undispatched.indexOf(false);
        if (handedOver === -1) await harness.run("booking");
        else await assert.rejects(harness.run("booking"));
        const expected = handedOver === -1 ? undispatched.length : handedOver;
        assert.equal(harness.attempts.length, expected + 1);
      }),
    );
  },
);
