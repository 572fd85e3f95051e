import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Then, When } from "@cucumber/cucumber";
import { ResponseWriter } from "../../src/forward/response-writer.js";
import { type PlatformAnswer, askPlatform } from "../../standin/platform-caller.js";

const OK = 200;
const EVENT = "id: 1\ndata: word 1\n\n";

interface WriterWorld {
  answer: PlatformAnswer;
}

When(
  "an event is written to a caller and the response is broken off at once",
  async function (this: WriterWorld) {
    const server = createServer((_, response) => {
      const writer = ResponseWriter.create(response, () => false);
      writer.start(OK, ["content-type", "text/event-stream"]);
      void writer.write(Buffer.from(EVENT));
      writer.abort();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    this.answer = await askPlatform({ port, path: "/", id: "r1", key: "key-1" });
    server.close();
  },
);

Then("the caller got the event and an incomplete response", function (this: WriterWorld) {
  const { status, body, whole } = this.answer;
  assert.deepEqual({ status, body, whole }, { status: OK, body: EVENT, whole: false });
});
