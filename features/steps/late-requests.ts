import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import type { PlatformAnswer } from "../../standin/platform-caller.js";
import type { FrontHost } from "../support/front-host.js";

const OK = 200;
const UNAVAILABLE = 503;
/** Far below the time that a request takes at an upstream. */
const AT_ONCE_MS = 500;

interface LateRequest {
  readonly afterMs: number;
  readonly answer: PlatformAnswer;
  readonly tookMs: number;
}

interface LateWorld {
  front: FrontHost | undefined;
  requests: readonly LateRequest[];
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function timesOf(list: string): number[] {
  return [...list.matchAll(/\d+/g)].map(([text]) => Number(text));
}

function requestAfter({ requests }: LateWorld, afterMs: number): LateRequest {
  const request = requests.find((each) => each.afterMs === afterMs);
  assert(request !== undefined);
  return request;
}

When(
  /^the daemon is stopped and callers ask for "(.+)" after (.+) ms$/,
  { timeout: 30_000 },
  async function (this: LateWorld, path: string, times: string) {
    const { front } = this;
    assert(front !== undefined);
    const stopped = front.first.daemon.stop().then(() => front.first.daemon.close());
    this.requests = await Promise.all(
      timesOf(times).map(async (afterMs) => {
        await pause(afterMs);
        const sentMs = performance.now();
        const answer = await front.request(path);
        return { afterMs, answer, tookMs: performance.now() - sentMs };
      }),
    );
    await stopped;
  },
);

Then(
  "the caller after {int} ms got status {int}",
  function (this: LateWorld, afterMs: number, status: number) {
    assert.equal(requestAfter(this, afterMs).answer.status, status);
  },
);

Then(
  /^the callers after (.+) ms got status 503 at once with a retry delay$/,
  function (this: LateWorld, times: string) {
    for (const afterMs of timesOf(times)) {
      const { answer, tookMs } = requestAfter(this, afterMs);
      assert.equal(answer.status, UNAVAILABLE, `after ${afterMs} ms`);
      assert.ok((answer.retryAfterMs ?? 0) > 0);
      assert.ok(tookMs < AT_ONCE_MS, `${tookMs} ms`);
    }
  },
);

Then("every caller got an answer", function (this: LateWorld) {
  for (const { answer, afterMs } of this.requests)
    assert.ok(
      answer.whole && [OK, UNAVAILABLE].includes(answer.status),
      `status ${answer.status} after ${afterMs} ms`,
    );
});
