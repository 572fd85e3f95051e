import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import { ErrorKind } from "../../src/error/error-kind.js";
import { ServeError } from "../../src/error/serve-error.js";
import { AttemptState } from "../../src/ledger/attempt-state.js";
import { RequestState } from "../../src/pipeline/request-state.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import type { CallerAnswer } from "../support/caller-answer.js";
import { received } from "../support/caller.js";
import { CallerHosts } from "../support/caller-hosts.js";

const KEY = "deposit-1";
const SEED = 20_263;
/** Less than the first estimate of a call, which is 50 ms. */
const UNREACHABLE_MS = 40;

interface EndProblem {
  readonly kind: string;
  readonly outcome: string;
  readonly retryAfter?: number;
}

Then("a booking without a key gets {string} and is not dispatched", async function (kind: string) {
  const hosts = CallerHosts.of(this);
  const { status, body } = await hosts.post(hosts.first, "booking");
  assert.deepEqual([status, (body as EndProblem).kind], [400, kind]);
  assert.equal(hosts.first.upstream.calls.length, 0);
});

Then(
  "a booking resent to instance 2 gets the events of the first and one call is made",
  async function () {
    const hosts = CallerHosts.of(this);
    const first = await hosts.post(hosts.at(1), "booking", { key: KEY });
    const second = await hosts.post(hosts.at(2), "booking", { key: KEY });
    assert.deepEqual(
      first.events.map(({ kind }) => kind),
      ["result", "end"],
    );
    assert.deepEqual(second.events, first.events);
    assert.deepEqual(callsOf(hosts), [1, 0]);
  },
);

Then(
  "a booking resent to instance 2 while the first runs gets its events and one call is made",
  async function () {
    const hosts = CallerHosts.of(this);
    hosts.at(1).upstream.holdAfter = 0;
    const first = await hosts.begin(hosts.at(1), "booking", { key: KEY });
    const second = hosts.post(hosts.at(2), "booking", { key: KEY });
    await delay(100);
    hosts.at(1).upstream.resume();
    assert.deepEqual((await second).events, (await received(first)).events);
    assert.deepEqual(callsOf(hosts), [1, 0]);
  },
);

Then(
  "a booking resent while the holder is unreachable gets {string} with a retry time",
  async function (kind: string) {
    const hosts = CallerHosts.of(this);
    hosts.at(1).upstream.holdAfter = 0;
    const first = await hosts.begin(hosts.at(1), "booking", { key: KEY });
    hosts.peers.unreachable.add("fes-a-1");
    const second = await hosts.post(hosts.at(2), "booking", { key: KEY, stream: false });
    const problem = second.body as EndProblem;
    assert.deepEqual([second.status, problem.kind, problem.outcome], [409, kind, "may-have-run"]);
    assert.ok(Number(second.headers.get("retry-after")) >= 1);
    hosts.at(1).upstream.resume();
    await first.text();
    assert.deepEqual(callsOf(hosts), [1, 0]);
  },
);

Then("another booking with the same key gets {string}", async function (kind: string) {
  const hosts = CallerHosts.of(this);
  await hosts.post(hosts.first, "booking", { key: KEY });
  const answer = await hosts.post(hosts.first, "booking", { key: KEY, text: "another" });
  assert.equal(endProblem(answer).kind, kind);
  assert.deepEqual(callsOf(hosts), [1]);
});

Then(
  "a booking whose claim takes longer than its deadline is answered {string} and released",
  async function (outcome: string) {
    const hosts = CallerHosts.of(this);
    const { ledger, first } = hosts;
    let confirm: () => void = () => undefined;
    ledger.confirmed = new Promise((resolve) => (confirm = resolve));
    const answer = await hosts.post(first, "booking", { key: KEY, deadlineMs: 100 });
    const id = answer.headers.get("x-request-id") ?? "";
    assert.equal(endProblem(answer).outcome, outcome);
    assert.equal(first.parts.attemptStates.stateOf(id), AttemptState.Abandoned);
    confirm();
    await delay(50);
    assert.deepEqual(ledger.released, [id]);
    assert.deepEqual(callsOf(hosts), [0]);
  },
);

Then(
  "a booking that fails after dispatch gets {string} without a retry time, resent as well",
  async function (outcome: string) {
    const hosts = CallerHosts.of(this);
    hosts.first.upstream.failure = ServeError.create(ErrorKind.UpstreamFailed, "broken");
    const first = await hosts.post(hosts.first, "booking", { key: KEY });
    const second = await hosts.post(hosts.first, "booking", { key: KEY });
    const problem = endProblem(first);
    assert.deepEqual([problem.outcome, problem.retryAfter], [outcome, undefined]);
    assert.deepEqual(second.events, first.events);
    assert.deepEqual(callsOf(hosts), [1]);
  },
);

Then(
  "a booking that ran, resent to a draining instance, gets {string}, a new one {string}",
  async function (resent: string, fresh: string) {
    const hosts = CallerHosts.of(this);
    await hosts.post(hosts.at(1), "booking", { key: KEY });
    hosts.at(2).parts.newRequests.refuse();
    const second = await hosts.post(hosts.at(2), "booking", { key: KEY, resend: true });
    const other = await hosts.post(hosts.at(2), "booking", { key: "deposit-2" });
    assert.equal((second.body as EndProblem).outcome, resent);
    assert.equal((other.body as EndProblem).outcome, fresh);
    assert.deepEqual(callsOf(hosts), [1, 0]);
  },
);

Then(
  "a booking marked as resent whose key is new and which is refused gets {string} and released",
  async function (outcome: string) {
    const hosts = CallerHosts.of(this);
    const exchange = { key: KEY, resend: true, deadlineMs: UNREACHABLE_MS };
    const { kind, outcome: told } = endProblem(await hosts.post(hosts.first, "booking", exchange));
    assert.deepEqual([kind, told], [ErrorKind.DeadlineUnreachable, outcome]);
    assert.equal(hosts.ledger.released.length, 1);
    assert.deepEqual(callsOf(hosts), [0]);
  },
);

Then("for any order of dispatch and abandonment the request state allows one of them", function () {
  const steps = fc.array(fc.constantFrom("dispatch", "abandon", "wait"), { maxLength: 12 });
  const property = fc.property(steps, (names) => {
    const timers = ManualTimers.create();
    const state = RequestState.create(timers, 1_000);
    const outcomes = new Set<string>();
    for (const name of names) {
      if (name === "abandon" && state.abandon()) outcomes.add("abandoned");
      if (name === "dispatch" && dispatches(state)) outcomes.add("dispatched");
    }
    assert.ok(outcomes.size <= 1);
    assert.equal(state.attempt, [...outcomes][0] ?? "waiting");
  });
  fc.assert(property, { seed: SEED });
});

function dispatches(state: RequestState): boolean {
  try {
    state.recordDispatch();
    return true;
  } catch {
    return false;
  }
}

function callsOf(hosts: CallerHosts): number[] {
  return hosts.hosts.map(({ upstream }) => upstream.calls.length);
}

function endProblem(answer: CallerAnswer): EndProblem {
  return answer.events.at(-1)?.data as EndProblem;
}
