import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import type { AnswerRecord } from "../../src/caller/answer-record.js";
import { Outcome } from "../../src/error/outcome.js";
import { ServeError } from "../../src/error/serve-error.js";
import type { AttemptBehaviour } from "../support/erratic-upstreams.js";
import { WholeInstance } from "../support/whole-instance.js";

const RUNS = 150;
const TOKENS = 4;
const MAX_RUN_MS = 4_000;

interface Call {
  readonly pipeline: "search" | "advice" | "both" | "booking";
  readonly team: string;
  readonly text: string;
  readonly afterMs: number;
  readonly deadlineMs: number;
}

const behaviours: fc.Arbitrary<AttemptBehaviour> = fc.record({
  delayMs: fc.constantFrom(0, 10, 20, 50, 200, 1_500),
  end: fc.constantFrom("whole", "whole", "whole", "failed", "crashed", "refused", "silent"),
  tokens: fc.nat(TOKENS - 1),
  ignoresCancellation: fc.boolean(),
});

const calls: fc.Arbitrary<Call> = fc.record({
  pipeline: fc.constantFrom("search", "advice", "both", "booking"),
  team: fc.constantFrom("seamstresses", "branches"),
  // Few texts, so that requests with the same content run concurrently.
  text: fc.constantFrom("silk", "linen", "wool"),
  afterMs: fc.constantFrom(0, 0, 5, 30, 100),
  deadlineMs: fc.constantFrom(40, 400, 2_000, 2_000),
});

/** Starts a request; returns its record, or undefined if it was refused with outcome `not-run`. */
function send(instance: WholeInstance, call: Call, at: number): AnswerRecord | undefined {
  const { pipeline, team, text, deadlineMs } = call;
  const input = { text, maxTokens: TOKENS };
  const body = { class: "chat", deadlineMs, input, stream: true, resend: false };
  try {
    const idempotencyKey = pipeline === "booking" ? `key-${at}` : undefined;
    return instance.parts.requestIntake.start({ team, pipeline, body, idempotencyKey });
  } catch (error) {
    assert.ok(error instanceof ServeError && error.outcome === Outcome.NotRun);
    return undefined;
  }
}

function checkAnswer(instance: WholeInstance, call: Call, record: AnswerRecord): void {
  const { dispatchedAttempts, answeredRequests } = instance.upstreams;
  const { request: id, events, team } = record;
  const last = events.at(-1);
  const tokens = events.flatMap((event) => (event.kind === "token" ? [event.text] : []));
  assert.equal(team, call.team);
  assert.deepEqual(
    tokens,
    tokens.map((_, index) => `${id}#${index} `),
  );
  if (call.pipeline === "booking")
    assert.ok((dispatchedAttempts.get(id) ?? 0) <= 1, "the booking was dispatched twice");
  if (last?.kind === "error") {
    assert.equal(events.length, tokens.length + 1);
    if (last.problem.outcome === Outcome.NotRun)
      assert.equal(dispatchedAttempts.get(id), undefined);
    if (call.pipeline === "search" || call.pipeline === "booking") {
      assert.ok(!answeredRequests.has(id), "a complete result was lost");
    }
    return;
  }
  assert.equal(last?.kind, "end");
  const document = { id, text: id };
  if (call.pipeline === "advice" || call.pipeline === "both") {
    assert.equal(tokens.length, TOKENS);
    assert.equal(events.length, TOKENS + 1);
  } else {
    const body = call.pipeline === "search" ? [document] : document;
    assert.deepEqual(events.slice(0, -1), [{ kind: "result", body }]);
  }
}

Then(
  "requests of two teams on erratic upstreams each get their own complete answer or one error",
  async function () {
    const lists = [fc.array(calls, { minLength: 1, maxLength: 8 }), fc.array(behaviours)] as const;
    await fc.assert(
      fc.asyncProperty(...lists, async (requests, behaviourList) => {
        const instance = WholeInstance.create(behaviourList);
        const sent: { readonly call: Call; readonly record: AnswerRecord }[] = [];
        for (const [at, call] of requests.entries()) {
          await instance.timers.advance(call.afterMs);
          const record = send(instance, call, at);
          if (record !== undefined) sent.push({ call, record });
        }
        await instance.timers.advance(MAX_RUN_MS);
        for (const { call, record } of sent) checkAnswer(instance, call, record);
      }),
      { numRuns: RUNS, includeErrorInReport: true },
    );
  },
);
