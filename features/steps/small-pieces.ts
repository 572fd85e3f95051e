import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { AppendResult } from "../../src/buffer/append-result.js";
import { BufferBudget } from "../../src/buffer/buffer-budget.js";
import { ByteBuffer } from "../../src/buffer/byte-buffer.js";
import { EventSplitter } from "../../src/forward/event-splitter.js";
import { readBoundedText } from "../../src/upstream/read-bounded-text.js";
import { EventRelay } from "../../src/version/event-relay.js";
import { bytesInUse } from "../support/bytes-in-use.js";

const MEBIBYTE = 1_048_576;
const SEED = 7;

interface PiecesWorld {
  grownBytes: number;
  processorMs: number;
  splitter: EventSplitter;
}

When(
  "{int} events of {int} bytes are held until their stream may pass",
  function (this: PiecesWorld, count: number, length: number) {
    const before = bytesInUse();
    const never = new Promise<boolean>(() => undefined);
    const relay = EventRelay.create(() => undefined, never, BufferBudget.create());
    const text = `id: 1\n${"data".padEnd(length - 8, ":")}\n\n`;
    for (let at = 0; at < count; at += 1)
      void relay.push({ bytes: Buffer.from(text), count: 1, lastId: "1" });
    this.grownBytes = bytesInUse() - before;
    relay.clear();
  },
);

When(
  "{int} pieces of {int} byte(s) of a response are read",
  async function (this: PiecesWorld, count: number, length: number) {
    const before = bytesInUse();
    let peak = before;
    async function* pieces(): AsyncGenerator<Buffer> {
      await Promise.resolve();
      for (let at = 0; at < count; at += 1) yield Buffer.alloc(length, "x");
      peak = bytesInUse();
    }
    const text = await readBoundedText(pieces(), count * length);
    assert.equal(text.length, count * length);
    this.grownBytes = peak - before;
  },
);

Then(
  "the memory in use has grown by at most {int} MiB",
  function (this: PiecesWorld, most: number) {
    assert.ok(this.grownBytes <= most * MEBIBYTE, `${this.grownBytes} bytes`);
  },
);

When(
  "{int} MiB of an incomplete event arrives in pieces of {int} bytes",
  function (this: PiecesWorld, mebibytes: number, length: number) {
    this.splitter = EventSplitter.create(BufferBudget.create());
    const piece = Buffer.from("tok ".repeat(length / 4));
    const before = process.cpuUsage();
    for (let bytes = 0; bytes < mebibytes * MEBIBYTE; bytes += length)
      assert.equal(this.splitter.push(piece), undefined);
    const { user, system } = process.cpuUsage(before);
    this.processorMs = (user + system) / 1_000;
  },
);

Then("it takes at most {int} ms of processor time", function (this: PiecesWorld, most: number) {
  assert.ok(this.processorMs <= most, `${this.processorMs} ms`);
});

Then("one more byte is too large", function (this: PiecesWorld) {
  assert.throws(() => this.splitter.push(Buffer.from("x")), /too large/);
});

Then(
  "{string} holds {int} events, passes on {int} bytes and ends {word} an event",
  function (escaped: string, count: number, bytes: number, where: string) {
    const text = escaped.replaceAll("\\n", "\n").replaceAll("\\r", "\r");
    for (const cut of [1, 2, text.length]) {
      const splitter = EventSplitter.create(BufferBudget.create());
      let events = 0;
      let passed = 0;
      for (let at = 0; at < text.length; at += cut) {
        const complete = splitter.push(Buffer.from(text.slice(at, at + cut)));
        events += complete?.count ?? 0;
        passed += complete?.bytes.length ?? 0;
      }
      assert.deepEqual([events, passed], [count, bytes]);
      assert.equal(splitter.isInsideEvent, where === "inside");
      assert.equal(splitter.remainder.length, text.length - bytes);
    }
  },
);

Then(
  "a buffer that is filled in any pieces holds the same bytes and returns what it reserved",
  function () {
    const pieces = fc.array(fc.uint8Array({ maxLength: 5_000 }), { maxLength: 40 });
    fc.assert(
      fc.property(pieces, fc.nat(100_000), fc.nat(60_000), (chunks, maxBytes, budgetBytes) => {
        const budget = BufferBudget.create(budgetBytes);
        const buffer = ByteBuffer.create(budget, maxBytes);
        const added = chunks.filter((chunk) => buffer.append(chunk) === AppendResult.Added);
        assert.ok(budget.usedBytes <= budgetBytes && buffer.length <= maxBytes);
        assert.deepEqual(buffer.take(), Buffer.concat(added));
        assert.equal(budget.usedBytes, 0);
      }),
      { seed: SEED },
    );
  },
);
