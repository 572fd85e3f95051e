import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import { ResponseEnd } from "../../standin/raw-upstream.js";
import { type EndPlace, type Framing, encode, relay } from "../support/response-trial.js";

const OK = 200;
/** More than the system buffers for a connection. */
const UPLOAD_BYTES = 16_777_216;
const EVENTS = [1, 2, 3].map((id) => `id: ${id}\ndata: token ${id}\n\n`);
const RESULT_PARTS = ["the whole ", "answer of it"];

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
