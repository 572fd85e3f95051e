import assert from "node:assert/strict";
import { once } from "node:events";
import { get } from "node:http";
import { createBrotliDecompress, createGunzip } from "node:zlib";
import { Given, Then, When } from "@cucumber/cucumber";
import { UnreadyReason } from "../../src/daemon/readiness.js";
import { sampleCredentials } from "../../standin/sample-configuration.js";
import type { CallerAnswer } from "../support/caller-answer.js";
import { received } from "../support/caller.js";
import { CallerHosts } from "../support/caller-hosts.js";

interface Resumed {
  whole: CallerAnswer;
  parts: CallerAnswer[];
}

Given("{int} instances", async function (count: number) {
  await CallerHosts.of(this).start(count);
});

When(
  "a finished answer of instance 1 is resumed through instance 2 after each event",
  async function (this: Resumed) {
    const hosts = CallerHosts.of(this);
    this.whole = await hosts.post(hosts.at(1), "advice");
    const path = `/v1/requests/${idOf(this.whole)}/events`;
    this.parts = [];
    for (const { id } of this.whole.events) {
      const headers = { "last-event-id": String(id) };
      this.parts.push(await hosts.get(hosts.at(2), path, headers));
    }
  },
);

Then("each resumed stream holds exactly the unseen events", function (this: Resumed) {
  assert.equal(this.whole.events.length, 5);
  for (const [at, part] of this.parts.entries()) {
    assert.deepEqual(part.events, this.whole.events.slice(at + 1));
  }
});

Then("instance 2 returns the finished answer of instance 1 whole", async function () {
  const hosts = CallerHosts.of(this);
  const answer = await hosts.post(hosts.at(1), "advice", { stream: false });
  const again = await hosts.get(hosts.at(2), `/v1/requests/${idOf(answer)}`);
  assert.equal(again.status, 200);
  assert.deepEqual(again.body, answer.body);
});

Then("instance 2 follows an answer of instance 1 that is still running", async function () {
  const hosts = CallerHosts.of(this);
  hosts.at(1).upstream.holdAfter = 2;
  const response = await hosts.begin(hosts.at(1), "advice");
  const id = response.headers.get("x-request-id") ?? "";
  const following = hosts.get(hosts.at(2), `/v1/requests/${id}/events`);
  hosts.at(1).upstream.resume();
  assert.deepEqual((await following).events, (await received(response)).events);
});

Then(
  "another team gets {string} for it from instance 1 and instance 2",
  async function (kind: string) {
    const hosts = CallerHosts.of(this);
    const id = idOf(await hosts.post(hosts.at(1), "advice"));
    const authorization = `Bearer ${sampleCredentials.branches}`;
    for (const host of hosts.hosts) {
      for (const path of [`/v1/requests/${id}`, `/v1/requests/${id}/events`]) {
        assertProblem(await hosts.get(host, path, { authorization }), 404, kind);
      }
    }
  },
);

Then(
  "a resume after event {int} gets {string} from instance 1 and instance 2",
  async function (position: number, kind: string) {
    const hosts = CallerHosts.of(this);
    const path = `/v1/requests/${idOf(await hosts.post(hosts.at(1), "advice"))}/events`;
    for (const host of hosts.hosts) {
      const headers = { "last-event-id": String(position) };
      assertProblem(await hosts.get(host, path, headers), 400, kind);
    }
  },
);

Then(
  "a stream through instance 2 whose holder is lost ends with {string} and the last id",
  async function (kind: string) {
    const hosts = CallerHosts.of(this);
    hosts.at(1).upstream.holdAfter = 2;
    const response = await hosts.begin(hosts.at(1), "advice");
    const path = `/v1/requests/${response.headers.get("x-request-id") ?? ""}/events`;
    const following = hosts.get(hosts.at(2), path);
    // The first pages are read at once; the next call fails after the bounded wait.
    setTimeout(() => hosts.peers.unreachable.add("fes-a-1"), 500);
    const { events } = await following;
    assert.deepEqual(events.map(({ id, kind: name }) => [id, name]).slice(-2), [
      [2, "token"],
      [2, "error"],
    ]);
    const problem = events.at(-1)?.data as { kind: string; retryAfter: number };
    assert.equal(problem.kind, kind);
    assert.ok(problem.retryAfter >= 1);
  },
);

Then(
  "with {string} the first token arrives while the upstream waits",
  async function (coding: string) {
    const hosts = CallerHosts.of(this);
    hosts.first.upstream.holdAfter = 1;
    const begun = await hosts.begin(hosts.first, "advice");
    const url = `${hosts.first.url}/v1/requests/${begun.headers.get("x-request-id") ?? ""}/events`;
    const authorization = `Bearer ${sampleCredentials.seamstresses}`;
    const request = get(url, { headers: { authorization, "accept-encoding": coding } });
    const [response] = (await once(request, "response")) as [
      NodeJS.ReadableStream & {
        headers: Record<string, string>;
      },
    ];
    assert.equal(response.headers["content-encoding"], coding);
    const plain = response.pipe(coding === "br" ? createBrotliDecompress() : createGunzip());
    const [chunk] = (await once(plain, "data")) as [Buffer];
    assert.equal(chunk.toString(), 'id: 1\nevent: token\ndata: {"text":" w1"}\n\n');
    hosts.first.upstream.resume();
    plain.resume();
    await once(plain, "end");
    await begun.text();
  },
);

Then("the answer of a caller that left after the first token is finished", async function () {
  const hosts = CallerHosts.of(this);
  hosts.first.upstream.holdAfter = 1;
  const leaving = new AbortController();
  const response = await hosts.begin(hosts.first, "advice", { signal: leaving.signal });
  const id = response.headers.get("x-request-id") ?? "";
  await response.body?.getReader().read();
  leaving.abort();
  hosts.first.upstream.resume();
  const { status, body } = await hosts.get(hosts.first, `/v1/requests/${id}`);
  assert.deepEqual([status, (body as { text: string }).text], [200, " w1 w2 w3 w4"]);
});

Then(
  "an unready instance answers 503 at {string} with its reasons and still serves",
  async function (path: string) {
    const hosts = CallerHosts.of(this);
    assert.equal((await hosts.get(hosts.first, path)).status, 200);
    hosts.first.parts.readiness.block(UnreadyReason.ConfigurationNotCurrent);
    hosts.first.parts.readiness.block(UnreadyReason.Draining);
    const { status, headers, body } = await hosts.get(hosts.first, path);
    assert.equal(status, 503);
    assert.ok(Number(headers.get("retry-after")) >= 1);
    assert.deepEqual((body as { reasons: string[] }).reasons, [
      "configuration-not-current",
      "draining",
    ]);
    assert.equal((await hosts.post(hosts.first, "advice")).events.length, 5);
  },
);

Then(
  "after it began to refuse a new request gets {string} with Retry-After and the running one ends",
  async function (kind: string) {
    const hosts = CallerHosts.of(this);
    hosts.first.upstream.holdAfter = 1;
    const running = await hosts.begin(hosts.first, "advice");
    hosts.first.parts.newRequests.refuse();
    const refused = await hosts.post(hosts.first, "advice");
    assertProblem(refused, 503, kind);
    assert.equal((refused.body as { outcome: string }).outcome, "not-run");
    assert.ok(Number(refused.headers.get("retry-after")) >= 1);
    hosts.first.upstream.resume();
    assert.equal((await received(running)).events.at(-1)?.kind, "end");
  },
);

Then(
  "a stop during a streamed answer takes less than {int} ms after the answer ends",
  async function (mostMs: number) {
    const hosts = CallerHosts.of(this);
    hosts.first.upstream.holdAfter = 1;
    const running = await hosts.begin(hosts.first, "advice");
    const stopped = hosts.first.parts.callerServer.close();
    hosts.first.upstream.resume();
    assert.equal((await received(running)).events.at(-1)?.kind, "end");
    const ended = performance.now();
    await stopped;
    assert.ok(performance.now() - ended < mostMs);
  },
);

Then("no log line holds a credential that was sent", async function () {
  const hosts = CallerHosts.of(this);
  const unknown = "a-credential-that-nobody-has";
  await hosts.post(hosts.first, "advice");
  await hosts.get(hosts.first, "/v1/requests/x", { authorization: `Bearer ${unknown}` });
  const text = hosts.first.logged.join("\n");
  assert.ok(text.includes("decision"));
  assert.ok(!text.includes(unknown) && !text.includes(sampleCredentials.seamstresses));
});

function idOf(answer: CallerAnswer): string {
  return answer.headers.get("x-request-id") ?? "";
}

function assertProblem(answer: CallerAnswer, status: number, kind: string): void {
  assert.match(answer.headers.get("content-type") ?? "", /^application\/problem\+json/);
  assert.deepEqual([answer.status, (answer.body as { kind: string }).kind], [status, kind]);
}
