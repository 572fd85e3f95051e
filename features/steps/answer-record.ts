import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { Given, Then } from "@cucumber/cucumber";
import fc from "fast-check";
import { AnswerRecord } from "../../src/caller/answer-record.js";
import { eventStream } from "../../src/caller/event-stream.js";
import { restoreAnswer, storedAnswer } from "../../src/caller/stored-answer.js";
import { RandomSource } from "../../src/random/random-source.js";
import { ManualTimers } from "../../src/time/manual-timers.js";

const SEED = 20_261;
const tokens = fc.array(fc.string({ unit: "binary" }), { maxLength: 600 });

function recordOf(texts: readonly string[]): AnswerRecord {
  const record = AnswerRecord.create("a.b", "team");
  for (const text of texts) record.token(text);
  return record;
}

async function textsAfter(record: AnswerRecord, after: number): Promise<string[]> {
  const texts: string[] = [];
  for await (const page of record.follow(after, new AbortController().signal)) {
    for (const { id, event } of page) {
      assert.equal(id, after + texts.length + 1);
      texts.push(event.kind === "token" ? event.text : event.kind);
    }
  }
  return texts;
}

Then(
  "for any tokens every position of a running and of a finished answer gives the rest",
  async function () {
    const property = fc.asyncProperty(tokens, fc.nat(600), async (texts, position) => {
      const after = Math.min(position, texts.length);
      const record = recordOf(texts);
      const running = textsAfter(record, after);
      record.end();
      const expected = [...texts, "end"].slice(after);
      assert.deepEqual(await running, expected);
      assert.deepEqual(await textsAfter(record, after), expected);
      assert.throws(() => record.page(texts.length + 2), { kind: "malformed-request" });
    });
    await fc.assert(property, { seed: SEED, numRuns: 100 });
  },
);

Then("for any text cut at any place the end has the length and digest of the text", function () {
  const property = fc.property(fc.string({ unit: "binary" }), (text) => {
    // Cut between UTF-16 code units, which splits characters beyond the basic plane.
    const record = recordOf(text.split(""));
    record.end();
    const digest = createHash("sha256").update(text).digest("hex");
    assert.deepEqual(record.events.at(-1), {
      kind: "end",
      length: Buffer.byteLength(text),
      digest,
    });
  });
  fc.assert(property, { seed: SEED });
});

Then("for any tokens and result the stored answer gives the same events", function () {
  const property = fc.property(tokens, fc.option(fc.jsonValue()), (texts, result) => {
    const record = recordOf(texts);
    if (result !== null) record.result(result);
    record.end();
    const restored = AnswerRecord.create("c.d", "team");
    restoreAnswer(restored, storedAnswer(record));
    assert.equal(JSON.stringify(restored.events), JSON.stringify(record.events));
  });
  fc.assert(property, { seed: SEED });
});

Given(
  "a stream of an answer that is quiet for {int} ms",
  async function (this: { sent: string[] }, quietMs: number) {
    const timers = ManualTimers.create();
    const parts = { timers, random: RandomSource.create(SEED) };
    const left = new AbortController();
    const stream = eventStream(parts, AnswerRecord.create("a.b", "team"), 0, left.signal);
    this.sent = [];
    const reading = (async () => {
      for await (const text of stream) this.sent.push(text);
    })();
    await timers.advance(quietMs);
    left.abort();
    await reading;
  },
);

Then(
  "the stream holds {int} comments and no event",
  function (this: { sent: string[] }, comments: number) {
    assert.deepEqual(
      this.sent,
      Array.from({ length: comments }, () => ": keep-alive\n\n"),
    );
  },
);
