import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { Then, When } from "@cucumber/cucumber";
import { SystemTimers } from "../../src/time/system-timers.js";
import { Connection } from "../../src/upstream/connection.js";
import { readBoundedText } from "../../src/upstream/read-bounded-text.js";

const HEAD = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n";
const MAX_BYTES = 1_000;

interface ResetsWorld {
  /** Whether each response is known to have been reset. */
  known: boolean[];
}

async function isKnownReset(address: string): Promise<boolean> {
  const { signal } = new AbortController();
  const connection = await Connection.open(address, SystemTimers.create(), signal);
  try {
    const { body } = await connection.request({ path: "/", method: "GET", reset: true, signal });
    await readBoundedText(body, MAX_BYTES);
    return connection.wasReset;
  } catch {
    // The response ended with an error.
    return true;
  } finally {
    connection.destroy();
  }
}

When(
  "{int} responses without a length are reset in the turn of their last bytes",
  async function (this: ResetsWorld, count: number) {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.write(`${HEAD}half of `);
        socket.resetAndDestroy();
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    this.known = [];
    for (let at = 0; at < count; at += 1)
      this.known.push(await isKnownReset(`http://127.0.0.1:${port}`));
    server.close();
  },
);

Then("each of them is known to have been reset", function (this: ResetsWorld) {
  const known = this.known.filter((each) => each).length;
  assert.equal(known, this.known.length);
});
