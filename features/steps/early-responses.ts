import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import { ResponseEnd } from "../../standin/raw-upstream.js";
import { type EndPlace, type Framing, encode, relay } from "../support/response-trial.js";

const OK = 200;
/** More than the system buffers for a connection. */
const UPLOAD_BYTES = 16_777_216;
const EVENTS = [1, 2, 3].map((id) => `id: ${id}\ndata: token ${id}\n\n`);
const RESULT_PARTS = ["the whole ", "answer of it"];
const FIELDS = "nutmegstage-attempt-id: a1\r\nnutmegstage-replica-stamp: s\r\n";
const BODY = EVENTS.join("");

async function assertNothingPassedOn(head: string, streamed: boolean): Promise<void> {
  const chunks = [`HTTP/1.1 ${head}\r\n${FIELDS}\r\n${BODY}`];
  const { outcome, bytes, started } = await relay(chunks, ResponseEnd.Close, streamed);
  assert.deepEqual(
    { kind: outcome.kind, bytes, started },
    { kind: "broken", bytes: "", started: false },
  );
}

Then(
  "a {string} with framing {string} that ends by {string} {string} during the upload is {word}",
  async (kind: string, framing: Framing, how: ResponseEnd, place: EndPlace, outcome: string) => {
    const streamed = kind === "stream";
    const parts = streamed ? EVENTS : RESULT_PARTS;
    const chunks = encode({ status: OK, framing, closes: true, parts, place });
    const relayed = await relay(chunks, how, streamed, { unreadBytes: UPLOAD_BYTES });
    assert.equal(relayed.ended, outcome === "whole");
    assert.equal(relayed.outcome.kind, outcome === "whole" ? "relayed" : "broken");
    assert.ok(parts.join("").startsWith(relayed.bytes));
  },
);

Then(
  "a {string} with the status line {string} is broken, and the caller gets no part of it",
  async (kind: string, status: string) => {
    const head = `${status} Status\r\ncontent-length: ${BODY.length}`;
    await assertNothingPassedOn(head, kind === "stream");
  },
);

Then(
  "a response with two lengths that differ is broken, and the caller gets no part of it",
  async () => {
    const length = BODY.length;
    const head = `200 OK\r\ncontent-length: ${length}\r\ncontent-length: ${length - 1}`;
    await assertNothingPassedOn(head, false);
  },
);

Then(
  "a response with status {int} and no body that ends by {string} during the upload is whole",
  async (status: number, how: ResponseEnd) => {
    const chunks = [`HTTP/1.1 ${status} Status\r\n${FIELDS}\r\n`];
    const relayed = await relay(chunks, how, false, { unreadBytes: UPLOAD_BYTES });
    assert.equal(relayed.outcome.kind, "relayed");
  },
);

Then(
  "a {string} with the transfer coding {string} that is reset in its body is broken",
  async (kind: string, coding: string) => {
    const head = `HTTP/1.1 200 OK\r\n${FIELDS}transfer-encoding: ${coding}\r\n\r\n`;
    const { outcome, ended } = await relay(
      [`${head}${EVENTS.join("")}`],
      ResponseEnd.Reset,
      kind === "stream",
    );
    assert.deepEqual({ kind: outcome.kind, ended }, { kind: "broken", ended: false });
  },
);

Then(
  "a stream with status {int} that falls silent after an event has passed that event on",
  async (status: number) => {
    const head = `HTTP/1.1 ${status} Status\r\n${FIELDS}\r\n`;
    const { bytes } = await relay([head, EVENTS[0] ?? ""], ResponseEnd.Silence, true);
    assert.equal(bytes, EVENTS[0]);
  },
);
