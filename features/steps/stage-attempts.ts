import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { SystemTimers } from "../../src/time/system-timers.js";
import type { GenerateRequest } from "../../src/upstream/generate-request.js";
import type { Token } from "../../src/upstream/token.js";
import { StageTrial } from "../support/stage-trial.js";
import type { ScenarioWorld } from "../support/world.js";

const trials = new WeakMap<ScenarioWorld, { trial: StageTrial; first: number }>();

function ended(world: ScenarioWorld): { trial: StageTrial; first: number } {
  const found = trials.get(world);
  if (found === undefined) throw new Error("the scenario ran no request");
  return found;
}

function failure(undispatched = false): ServeError {
  return ServeError.create(ErrorKind.UpstreamFailed, "fault", { undispatched });
}

/** Streams the rest of an answer; breaks after `tokens` and repeats or skips one where told. */
async function* stream(
  request: GenerateRequest,
  tokens: number,
  shift: number,
): AsyncGenerator<Token> {
  await Promise.resolve();
  for (let at = request.receivedTokens; at < request.maxTokens; at += 1) {
    if (at - request.receivedTokens === tokens) throw failure();
    const index = at === request.receivedTokens ? at : at + shift;
    yield { index, text: ` w${index}` };
  }
  if (request.maxTokens - request.receivedTokens === tokens) throw failure();
}

When(
  "{int} requests run over {int} s while every upstream fails",
  async function (this: ScenarioWorld, first: number, seconds: number) {
    const trial = StageTrial.create({ generate: (request) => stream(request, 0, 0) });
    for (let at = 0; at < first; at += 1) {
      await assert.rejects(trial.run("advice"));
      await trial.timers.advance((seconds * 1_000) / first);
    }
    trials.set(this, { trial, first });
  },
);

Then(
  "fewer than {float} of the first attempts were repeated",
  function (this: ScenarioWorld, share: number) {
    const { trial, first } = ended(this);
    const extra = (trial.attempts.length - first) / first;
    assert.ok(extra > 0 && extra < share, `${extra} of the first attempts`);
  },
);

Then("every stream that breaks at random places is answered whole or fails", async function () {
  const faults = fc.record({ tokens: fc.nat(14), shift: fc.constantFrom(0, 0, 0, -1, 1) });
  await fc.assert(
    fc.asyncProperty(fc.array(faults, { maxLength: 4 }), async (list) => {
      const rest = [...list];
      const trial = StageTrial.create({
        generate: (request) => {
          const { tokens, shift } = rest.shift() ?? { tokens: Infinity, shift: 0 };
          return stream(request, tokens, shift);
        },
      });
      try {
        const { texts } = await trial.run("advice");
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
});

When(
  "a request runs on a pool that still offers a leaving upstream",
  async function (this: ScenarioWorld) {
    const trial = StageTrial.create({
      leaving: ["advice-1"],
      generate: (request) => stream(request, Infinity, 0),
    });
    await trial.run("advice");
    trials.set(this, { trial, first: 1 });
  },
);

Then("the leaving upstream got no work", function (this: ScenarioWorld) {
  assert.deepEqual(ended(this).trial.attempts, ["advice-2"]);
});

When(
  "{string} crashes and {string} leaves before the suspect runs there",
  async function (this: ScenarioWorld, crashed: string, leaving: string) {
    const trial = StageTrial.create({
      generate: (request, upstream) => {
        if (upstream === crashed) throw ServeError.create(ErrorKind.UpstreamCrashed, "ended");
        return stream(request, Infinity, 0);
      },
    });
    const ends = trial.run("advice");
    await trial.timers.advance(50);
    trial.leave(leaving);
    await trial.timers.advance(1_000);
    await ends;
    trials.set(this, { trial, first: 1 });
  },
);

Then(
  "the attempts were on {string} and {string}",
  function (this: ScenarioWorld, first: string, second: string) {
    assert.deepEqual(ended(this).trial.attempts, [first, second]);
  },
);

Then(
  "a sleep that is cancelled with {string} ends with it",
  async function (this: ScenarioWorld, kind: string) {
    const stop = new AbortController();
    const sleep = SystemTimers.create().sleep(10_000, stop.signal);
    stop.abort(ServeError.create(ErrorKind.DeadlineExceeded, "the deadline has passed"));
    await assert.rejects(sleep, { name: "ServeError", kind });
  },
);

Then("calls that must not be sent twice are repeated only when undispatched", async function () {
  await fc.assert(
    fc.asyncProperty(fc.array(fc.boolean(), { maxLength: 2 }), async (undispatched) => {
      const rest = [...undispatched];
      const trial = StageTrial.create({
        call: () => {
          const next = rest.shift();
          return next === undefined ? Promise.resolve({}) : Promise.reject(failure(next));
        },
      });
      const handedOver = undispatched.indexOf(false);
      if (handedOver === -1) await trial.run("booking");
      else await assert.rejects(trial.run("booking"));
      const expected = handedOver === -1 ? undispatched.length : handedOver;
      assert.equal(trial.attempts.length, expected + 1);
    }),
  );
});
