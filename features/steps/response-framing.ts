import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { ResponseEnd } from "../../standin/raw-upstream.js";
import { twoStageCalls } from "../support/stage-call-trial.js";
import { EndPlace, Framing, type Relayed, encode, relay } from "../support/response-trial.js";

const OK = 200;
const RESULT_PARTS = ["the whole ", "answer of it"];
const EVENTS = [1, 2, 3].map((id) => `id: ${id}\ndata: token ${id}\n\n`);

interface FramingWorld {
  relayed: Relayed;
  calls: string[];
}

Then(
  "a {string} with framing {string} that ends by {string} {string} is {word}, with and without notice of the close",
  async (kind: string, framing: Framing, how: ResponseEnd, place: EndPlace, outcome: string) => {
    const parts = kind === "stream" ? EVENTS : RESULT_PARTS;
    for (const closes of [false, true]) {
      const chunks = encode({ status: OK, framing, closes, parts, place });
      const { outcome: actual, bytes, ended } = await relay(chunks, how, kind === "stream");
      assert.equal(ended, outcome === "whole");
      assert.equal(actual.kind, outcome === "whole" ? "relayed" : "broken");
      if (place === EndPlace.End && ended) assert.equal(bytes, parts.join(""));
      assert.ok(parts.join("").startsWith(bytes));
    }
  },
);

When(
  "a stream that began is continued by a response with status {int}",
  async function (this: FramingWorld, status: number) {
    const parts = status === 204 ? [] : ["error text"];
    const framing = status === 204 ? Framing.None : Framing.Length;
    const chunks = encode({ status, framing, closes: true, parts, place: EndPlace.End });
    this.relayed = await relay(chunks, ResponseEnd.Close, true, { started: true });
  },
);

Then(
  "nothing of that response is passed on, and it does not end the stream",
  function (this: FramingWorld) {
    assert.equal(this.relayed.bytes, "");
    assert.equal(this.relayed.ended, false);
    assert.notEqual(this.relayed.outcome.kind, "relayed");
  },
);

Then(
  "of {int} responses with random framing, cuts and ends, those passed on as whole were whole",
  { timeout: 60_000 },
  async (count: number) => {
    const responses = fc.record({
      framing: fc.constantFrom(Framing.Length, Framing.Chunks),
      closes: fc.boolean(),
      streamed: fc.boolean(),
      how: fc.constantFrom(ResponseEnd.Close, ResponseEnd.Reset),
      cut: fc.double({ min: 0, max: 1, noNaN: true }),
      writes: fc.integer({ min: 1, max: 5 }),
    });
    await fc.assert(
      fc.asyncProperty(responses, async ({ framing, closes, streamed, how, cut, writes }) => {
        const parts = streamed ? EVENTS : RESULT_PARTS;
        const whole = encode({ status: OK, framing, closes, parts, place: EndPlace.End }).join("");
        const text = whole.slice(0, Math.round(cut * whole.length));
        const size = Math.max(1, Math.ceil(text.length / writes));
        const chunks = text.match(new RegExp(`[^]{1,${size}}`, "g")) ?? [];
        const { bytes, ended } = await relay(chunks, how, streamed);
        assert.ok(parts.join("").startsWith(bytes));
        if (ended) assert.ok(bytes === parts.join(""), "a part was passed on as whole");
        if (text === whole) assert.ok(ended, "a whole response was not passed on");
      }),
      { numRuns: count, seed: 4 },
    );
  },
);

When(
  "two stage calls are sent to an upstream that repeats its refusal on the same connection",
  async function (this: FramingWorld) {
    this.calls = await twoStageCalls();
  },
);

Then(
  "the first one is {string} and the second one is {string}",
  function (this: FramingWorld, first: string, second: string) {
    assert.deepEqual(this.calls, [first, second]);
  },
);
