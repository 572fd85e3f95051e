import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, type Server, type Socket, createServer } from "node:net";
import { After, Then, When } from "@cucumber/cucumber";
import { SystemTimers } from "../../src/time/system-timers.js";
import { Connection } from "../../src/upstream/connection.js";

const HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
const FIRST_PART = "first part";
const STEP_MS = 50;
const MAX_WAIT_MS = 2_000;

interface UnreadWorld {
  server: Server | undefined;
  /** Bytes of the body. */
  sentBytes: number;
  /** Bytes that were read after all, and whether the response is known to be cut. */
  result: { readonly bytes: number; readonly cut: boolean };
}

After(function (this: UnreadWorld) {
  this.server?.close();
});

function endOf(how: string, upstream: Socket, connection: Connection): void {
  if (how === "a close") upstream.end();
  else if (how === "a reset") upstream.resetAndDestroy();
  else connection.destroy();
}

When(
  "a response of {int} bytes ends by {string} while nobody reads it",
  async function (this: UnreadWorld, sentBytes: number, how: string) {
    this.sentBytes = sentBytes;
    const timers = SystemTimers.create();
    const { signal } = new AbortController();
    this.server = createServer();
    this.server.listen(0, "127.0.0.1");
    await once(this.server, "listening");
    const { port } = this.server.address() as AddressInfo;
    const accepted = once(this.server, "connection") as Promise<[Socket]>;
    const connection = await Connection.open(`http://127.0.0.1:${port}`, timers, signal);
    const [upstream] = await accepted;
    upstream.on("error", () => undefined);
    upstream.write(HEAD);
    const { body } = await connection.request({ path: "/", method: "GET", reset: true, signal });
    let bytes = 0;
    const failures: unknown[] = [];
    body.on("error", (error) => failures.push(error));
    body.on("data", (chunk: Buffer) => (bytes += chunk.length));
    body.pause();
    for (const part of [FIRST_PART, "x".repeat(sentBytes - FIRST_PART.length)]) {
      upstream.write(part);
      await timers.sleep(STEP_MS);
    }
    endOf(how, upstream, connection);
    await timers.sleep(STEP_MS);
    body.resume();
    const endMs = timers.now() + MAX_WAIT_MS;
    while (!body.closed && timers.now() < endMs) await timers.sleep(STEP_MS);
    this.result = { bytes, cut: failures.length > 0 || connection.wasReset };
    connection.destroy();
  },
);

Then("the response is {string}", function (this: UnreadWorld, outcome: string) {
  if (outcome === "cut") assert.ok(this.result.cut);
  else assert.deepEqual(this.result, { bytes: this.sentBytes, cut: false });
});

Then("the process goes on", async function () {
  // An error that nobody catches fails the step in which it is thrown.
  await SystemTimers.create().sleep(STEP_MS);
});
