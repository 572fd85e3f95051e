import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { StageDispatch } from "../../src/forward/stage-dispatch.js";
import { CAPACITY, createParts, submissionOf } from "../support/owner-parts.js";

/** Stage whose wait at this instance is longer than allowed. */
const LATE_STAGE = { allowedMs: 1, later: [{ service: "later", pieces: 1 }] };

interface ResubmissionWorld {
  parts: ReturnType<typeof createParts>;
}

function createBusyParts(peers: readonly string[]): ReturnType<typeof createParts> {
  const parts = createParts({ first: 1, later: 8 }, peers);
  for (const attemptId of ["b0", "b1"])
    parts.stagePools.submit(submissionOf({ attemptId, pieces: CAPACITY.maxPieces }), "self");
  return parts;
}

Given(
  "an owner that does not answer and a wait on this instance that its target does not allow",
  function (this: ResubmissionWorld) {
    this.parts = createBusyParts(["silent"]);
  },
);

When(
  /^(this instance|an instance of an older version) submits a stage to the owner and then to this instance$/,
  async function (this: ResubmissionWorld, instance: string) {
    if (instance === "this instance") {
      const submission = submissionOf({ ...LATE_STAGE, first: true });
      const run = StageDispatch.create(this.parts).run(submission, new AbortController().signal);
      await Promise.race([run, new Promise(setImmediate)]);
    } else {
      const { kind } = this.parts.stagePools.submit(submissionOf(LATE_STAGE), "older");
      assert.equal(kind, "accepted");
    }
  },
);

Then("this instance queues it", function (this: ResubmissionWorld) {
  assert.equal(this.parts.stagePools.inProgress, 3);
});

Then("it refuses one that no other owner got before", function () {
  for (const first of [{}, { first: true }]) {
    const { stagePools } = createBusyParts([]);
    const ticket = stagePools.submit(submissionOf({ ...LATE_STAGE, ...first }), "other");
    assert.equal(ticket.kind, "refused");
  }
});
