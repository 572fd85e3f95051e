import assert from "node:assert/strict";
import { once } from "node:events";
import { Agent, get, type IncomingMessage } from "node:http";
import { connect } from "node:net";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { sampleCredentials } from "../../standin/sample-configuration.js";
import { CallerHosts } from "../support/caller-hosts.js";
import { type RawAnswer, rawExchange } from "../support/raw-exchange.js";

const SEED = 20_262;
const RUNS = 150;
const HEADERS_WAIT_MS = 50;
const WAIT_MS = 1_600;
const LIMITS = {
  bodyBytes: 2_048,
  headerBytes: 2_048,
  headersTimeoutMs: 300,
  requestTimeoutMs: 600,
  requestsPerConnection: 4,
  concurrentRequestsPerConnection: 2,
  connections: 8,
};
const HEAD = `POST /v1/pipelines/advice/requests HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${sampleCredentials.seamstresses}\r\n`;
const BODY = JSON.stringify({ class: "fitting", deadlineMs: 5_000, input: { text: "x" } });

function posted(body: string, headers = "", head = HEAD): string {
  const length = `content-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}`;
  return `${head}${headers}${length}\r\n\r\n${body}`;
}

const REQUESTS: Readonly<Record<string, string>> = {
  "a large body": posted("x".repeat(4_000)),
  "a large header": `${HEAD}x-large: ${"x".repeat(4_000)}\r\n\r\n`,
  "a slow body": posted(BODY).slice(0, -1),
  "a slow header": HEAD,
  "bytes that are not HTTP": "hello\r\n\r\n",
  "a path that is malformed": "GET /v1/requests/%zz HTTP/1.1\r\nhost: x\r\n\r\n",
  "a deeply nested body": posted(`${"[".repeat(1_000)}${"]".repeat(1_000)}`),
  "a long idempotency key": posted(BODY, `idempotency-key: ${"k".repeat(129)}\r\n`),
  "no body": posted(""),
  "a body that is not JSON": posted("{"),
  "a body of another type": posted(BODY).replace("application/json", "text/plain"),
  "no idempotency key": posted(BODY, "", HEAD.replace("advice", "booking")),
  "3 pipelined requests": posted(BODY).repeat(3),
};

Given("an instance with small limits", async function () {
  await CallerHosts.of(this).start(1, LIMITS);
});

When(/^(.+) (?:is|are) sent$/, async function (this: { raw: RawAnswer }, name: string) {
  const { first } = CallerHosts.of(this);
  // The answers of pipelined requests come in order, so those before the refused one must end.
  setTimeout(() => {
    first.upstream.resume();
  }, WAIT_MS / 4);
  first.upstream.holdAfter = 1;
  this.raw = await rawExchange(first.port, REQUESTS[name] ?? "", WAIT_MS);
});

Then(
  "the raw answer is {int} with kind {string}",
  function (this: { raw: RawAnswer }, status: number, kind: string) {
    const { text } = this.raw;
    assert.match(text, new RegExp(`HTTP/1\\.1 ${status} `));
    assert.match(text, /content-type: application\/problem\+json/);
    assert.match(text, new RegExp(`"kind":"${kind}"`));
  },
);

Then("the last of {int} requests on one connection closes it", async function (count: number) {
  const { first } = CallerHosts.of(this);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const connections: (string | undefined)[] = [];
  for (let at = 0; at < count; at += 1) {
    const request = get(`${first.url}/healthz`, { agent });
    const [response] = (await once(request, "response")) as [IncomingMessage];
    connections.push(response.headers.connection);
    response.resume();
    await once(response, "end");
  }
  agent.destroy();
  assert.deepEqual(connections, ["keep-alive", "keep-alive", "keep-alive", "close"]);
});

Then("of {int} connections {int} stay open", async function (count: number, open: number) {
  const { first } = CallerHosts.of(this);
  const sockets = Array.from({ length: count }, () => connect(first.port, "127.0.0.1"));
  let closed = 0;
  for (const socket of sockets) {
    socket.on("error", () => undefined);
    socket.once("close", () => (closed += 1));
  }
  await new Promise((resolve) => setTimeout(resolve, LIMITS.headersTimeoutMs / 2));
  assert.equal(count - closed, open);
  for (const socket of sockets) socket.destroy();
});

Then("any body gets an answer below 500 and the instance is healthy", async function () {
  const { url } = CallerHosts.of(this).first;
  const authorization = `Bearer ${sampleCredentials.seamstresses}`;
  const fields = fc.record(
    {
      class: fc.oneof(fc.constant("fitting"), fc.anything()),
      deadlineMs: fc.oneof(fc.integer({ max: 100_000 }), fc.anything()),
      input: fc.oneof(fc.record({ text: fc.string() }), fc.anything()),
      stream: fc.oneof(fc.boolean(), fc.anything()),
    },
    { requiredKeys: [] },
  );
  const bodies = fc.oneof(fc.string(), fc.json(), fields.map(textOf));
  const property = fc.asyncProperty(bodies, async (body) => {
    const response = await fetch(`${url}/v1/pipelines/advice/requests`, {
      method: "POST",
      headers: { authorization, "content-type": "application/json" },
      body,
    });
    await response.text();
    assert.ok(response.status < 500, `${response.status} for ${body}`);
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS, includeErrorInReport: true });
  await assertHealthy(url);
});

Then("any header values get an answer below 500 and the instance is healthy", async function () {
  const { port, url } = CallerHosts.of(this).first;
  const value = fc.string({
    unit: fc.integer({ min: 1, max: 255 }).map((code) => String.fromCharCode(code)),
  });
  const names = fc.constantFrom(
    "authorization",
    "idempotency-key",
    "accept-encoding",
    "content-type",
    "content-encoding",
    "content-length",
    "transfer-encoding",
    "connection",
    "expect",
  );
  // Sent as bytes: HTTP clients refuse to send many of these values.
  const property = fc.asyncProperty(fc.dictionary(names, value), async (headers) => {
    const lines = Object.entries(headers).map(([name, text]) => `${name}: ${text}\r\n`);
    const head = `${HEAD}connection: close\r\n${lines.join("")}\r\n${BODY}`;
    const { text, closed } = await rawExchange(port, Buffer.from(head, "latin1"), HEADERS_WAIT_MS);
    assert.ok(closed || text === "" || /^HTTP\/1\.1 [1-4]/.test(text), text);
    assert.doesNotMatch(text, /^HTTP\/1\.1 5/);
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS, includeErrorInReport: true });
  await assertHealthy(url);
});

Then(
  "any bytes get an answer below 500 or a closed connection and the instance is healthy",
  async function () {
    const { port, url } = CallerHosts.of(this).first;
    const bytes = fc.oneof(
      fc.uint8Array({ minLength: 1 }),
      fc.string({ minLength: 1 }).map((text) => Buffer.from(`${text}\r\n\r\n`)),
      fc.nat(posted(BODY).length).map((at) => {
        const changed = Buffer.from(posted(BODY));
        changed[at] = 0;
        return changed;
      }),
    );
    const property = fc.asyncProperty(bytes, async (data) => {
      const { text, closed } = await rawExchange(port, data, 20);
      assert.ok(text === "" || closed || /^HTTP\/1\.1 [24]/.test(text), text);
      assert.doesNotMatch(text, /^HTTP\/1\.1 5/);
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS, includeErrorInReport: true });
    await assertHealthy(url);
  },
);

/** Not all values of the generator have JSON; those that have none become no body. */
function textOf(value: unknown): string {
  try {
    return JSON.stringify(value);
  } catch {
    return "";
  }
}

async function assertHealthy(url: string): Promise<void> {
  assert.equal((await fetch(`${url}/healthz`)).status, 200);
}
