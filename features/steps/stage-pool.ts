import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { StageTicket } from "../../src/forward/stage-outcome.js";
import { StageBench } from "../support/stage-bench.js";

const BULKY_BYTES = 1_500_000;
const RESULT_BYTES = 1_000;

interface PoolWorld {
  stages: StageBench;
  ticket: StageTicket;
}

function ranksOf(bench: StageBench, call: number): number[] {
  return bench.calls[call]?.pieces.map(({ parent }) => parent.submission.rank) ?? [];
}

Given(
  "a stage service with {int} upstreams, {int} pieces a call, {int} ms a call and {int} ms a piece",
  function (
    this: PoolWorld,
    upstreams: number,
    maxPieces: number,
    baseCallMs: number,
    pieceMs: number,
  ) {
    this.stages = StageBench.create(upstreams, { maxPieces, baseCallMs, pieceMs });
  },
);

Given(
  "the upstream in data centre {string} is busy",
  async function (this: PoolWorld, dataCentre: string) {
    this.stages.submit({ dataCentre, pieces: 4 });
    await this.stages.timers.advance(1);
    assert.equal(this.stages.calls[0]?.dataCentre, dataCentre);
  },
);

Given(
  "the upstream in data centre {string} takes {int} ms a call",
  function (this: PoolWorld, dataCentre: string, ms: number) {
    this.stages.callMsByDataCentre.set(dataCentre, ms);
  },
);

Given("no upstream can be reached for a moment", function (this: PoolWorld) {
  for (const dataCentre of ["a", "b"]) this.stages.healthOf(dataCentre).recordUnreachable();
});

Given("upstreams run {int} calls at once", function (this: PoolWorld, calls: number) {
  this.stages.maxCalls = calls;
});

Given("upstreams have memory for {int} results", function (this: PoolWorld, count: number) {
  this.stages.memoryBytes = count * RESULT_BYTES;
});

Given(/^the next call is (refused|lost)$/, function (this: PoolWorld, kind: "refused" | "lost") {
  this.stages.nextOutcome = kind;
});

When(
  /^(\d+) requests of (\d+) pieces?(?: with rank (\d+))?( with results)? arrive$/,
  function (
    this: PoolWorld,
    count: string,
    pieces: string,
    rank: string | null,
    withResults: string | null,
  ) {
    for (let index = 0; index < Number(count); index += 1) {
      const resultBytes = withResults === null ? 0 : RESULT_BYTES;
      this.stages.submit({ pieces: Number(pieces), rank: Number(rank ?? 0), resultBytes });
    }
  },
);

When(
  /^(\d+) requests of 1 piece for data centres? "(\w)"(?: and "(\w)")? arrive$/,
  function (this: PoolWorld, count: string, first: string, second: string | null) {
    for (let index = 0; index < Number(count); index += 1) {
      const dataCentre = index % 2 === 0 || second === null ? first : second;
      this.stages.submit({ dataCentre, attemptId: `for-${dataCentre}-${index}` });
    }
  },
);

Then(
  "the request for data centre {string} is in the third or fourth call",
  function (this: PoolWorld, dataCentre: string) {
    const pieces = this.stages.calls.slice(2, 4).flatMap((call) => call.pieces);
    const found = pieces.filter(({ parent }) => parent.submission.dataCentre === dataCentre);
    assert.equal(found.length, 1);
  },
);

When(
  "{int} requests of 1 piece arrive over {int} ms",
  async function (this: PoolWorld, count: number, ms: number) {
    for (let index = 0; index < count; index += 1) {
      this.stages.submit({});
      await this.stages.timers.advance(ms / count);
    }
  },
);

When(
  "a request of rank {int} with {int} ms left and {int} ms of later stages waits",
  function (this: PoolWorld, rank: number, leftMs: number, afterMs: number) {
    this.ticket = this.stages.submit({ rank, leftMs, afterMs, attemptId: "waiting" });
    assert.equal(this.ticket.kind, "accepted");
  },
);

When("a request with {int} ms left arrives", function (this: PoolWorld, ms: number) {
  this.ticket = this.stages.submit({ leftMs: ms });
});

When(
  "a request with bulky results for data centre {string} arrives",
  function (this: PoolWorld, dataCentre: string) {
    const bytes = { resultBytes: BULKY_BYTES, movedBytes: BULKY_BYTES };
    this.stages.submit({ dataCentre, pieces: 2, attemptId: "bulky", ...bytes });
  },
);

When("the stage clock advances by {int} ms", async function (this: PoolWorld, ms: number) {
  await this.stages.timers.advance(ms);
});

When("all results are released", function (this: PoolWorld) {
  this.stages.releaseAll();
});

When("the first request is submitted again", function (this: PoolWorld) {
  const [first] = this.stages.accepted;
  assert.ok(first !== undefined);
  this.stages.submit(first);
});

Then("all requests have their results", function (this: PoolWorld) {
  const made = this.stages.reports.filter(({ outcome }) => outcome.kind === "made");
  assert.equal(made.length, this.stages.accepted.length);
  for (const { submission, outcome } of made) {
    assert.ok(outcome.kind === "made");
    const owners = outcome.handles.map((handle) => handle.split("/")[1]?.split(".")[0]);
    assert.deepEqual(
      owners,
      Array.from({ length: submission.pieces }, () => submission.attemptId),
    );
  }
});

Then("{int} calls were made", function (this: PoolWorld, count: number) {
  assert.equal(this.stages.calls.length, count);
});

Then(
  /^the (third|fourth) call carries rank (\d+)$/,
  function (this: PoolWorld, which: string, rank: string) {
    const ranks = ranksOf(this.stages, which === "third" ? 2 : 3);
    assert.deepEqual(new Set(ranks), new Set([Number(rank)]));
  },
);

Then("no request was split over calls", function (this: PoolWorld) {
  const callsOf = new Map<string, Set<number>>();
  this.stages.calls.forEach(({ pieces }, index) => {
    for (const { parent } of pieces) {
      const id = parent.submission.attemptId;
      callsOf.set(id, (callsOf.get(id) ?? new Set()).add(index));
    }
  });
  for (const calls of callsOf.values()) assert.equal(calls.size, 1);
});

Then("it is refused with a retry delay above {int} ms", function (this: PoolWorld, ms: number) {
  assert.ok(this.ticket.kind === "refused");
  assert.ok(this.ticket.retryAfterMs > ms, `${this.ticket.retryAfterMs}`);
});

Then(
  "the waiting request has failed as {string} without a call",
  function (this: PoolWorld, reason: string) {
    const report = this.stages.reports.find(({ submission }) => {
      return submission.attemptId === "waiting";
    });
    assert.deepEqual(report?.outcome, { kind: "failed", reason, begun: false });
  },
);

Then("its pieces were not sent", function (this: PoolWorld) {
  const sent = this.stages.calls.flatMap(({ pieces }) => pieces);
  assert.ok(sent.every(({ parent }) => parent.submission.attemptId !== "bulky"));
});

Then("{int} retries were taken from the budget", function (this: PoolWorld, count: number) {
  assert.equal(this.stages.retriesTaken, count);
});

Then(
  "the upstream in data centre {string} got {int} calls",
  function (this: PoolWorld, expected: string, count: number) {
    const calls = this.stages.calls.filter(({ dataCentre }) => dataCentre === expected);
    assert.equal(calls.length, count);
  },
);

Then("it is reported again", function (this: PoolWorld) {
  assert.equal(this.stages.reports.length, 2);
});

Given(
  "the upstream in data centre {string} was late before",
  function (this: PoolWorld, dataCentre: string) {
    this.stages.healthOf(dataCentre).recordSlow(10);
  },
);

Then(
  "data centre {string} got at most {int} pieces a call and none of rank {int}",
  function (this: PoolWorld, expected: string, maxPieces: number, rank: number) {
    const calls = this.stages.calls.filter(({ dataCentre }) => dataCentre === expected);
    assert.ok(calls.length > 0);
    for (const { pieces } of calls) {
      assert.ok(pieces.length <= maxPieces);
      assert.ok(pieces.every(({ parent }) => parent.submission.rank !== rank));
    }
  },
);

Given(
  "the upstream in data centre {string} took {float} times and the one in {string} {float} times the stated time",
  function (this: PoolWorld, a: string, slower: number, b: string, faster: number) {
    for (let index = 0; index < 4; index += 1) {
      this.stages.healthOf(a).recordSuccess(slower);
      this.stages.healthOf(b).recordSuccess(faster);
    }
  },
);

Then("its pieces were sent to data centre {string}", function (this: PoolWorld, expected: string) {
  const calls = this.stages.calls.filter(({ dataCentre }) => dataCentre === expected);
  const sent = calls.flatMap(({ pieces }) => pieces);
  assert.ok(sent.some(({ parent }) => parent.submission.attemptId === "bulky"));
});
