import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import type { PlatformAnswer } from "../../standin/platform-caller.js";
import type { FrontHost } from "../support/front-host.js";

const BYTES_PER_MB = 1_048_576;
/** Longer than one call, and shorter than the idle timeout of an upstream's connections. */
const CALL_INTERVAL_MS = 60;

interface TroubleWorld {
  front: FrontHost | undefined;
  reply: PlatformAnswer;
  replies: PlatformAnswer[];
  maxLatencyMs: number;
  startedMs: number;
  maxRssGrowthBytes: number;
}

function hostOf(world: TroubleWorld): FrontHost {
  assert.ok(world.front !== undefined);
  return world.front;
}

When(
  "{int} callers ask for streams with {int} pieces, one after the other",
  async function (this: TroubleWorld, count: number, pieces: number) {
    this.replies = [];
    this.maxLatencyMs = 0;
    for (let at = 0; at < count; at += 1) {
      const request = { id: `one-after-${at}`, pieces, pieceKey: "k" };
      const askedMs = performance.now();
      this.replies.push(await hostOf(this).request("/stream/staged/1", request));
      this.maxLatencyMs = Math.max(this.maxLatencyMs, performance.now() - askedMs);
      await new Promise((resolve) => setTimeout(resolve, CALL_INTERVAL_MS));
    }
  },
);

When(
  "a caller asks for {string} with memory sampling",
  async function (this: TroubleWorld, path: string) {
    this.startedMs = performance.now();
    const initialRssBytes = process.memoryUsage.rss();
    this.maxRssGrowthBytes = 0;
    const samplingTimer = setInterval(() => {
      this.maxRssGrowthBytes = Math.max(
        this.maxRssGrowthBytes,
        process.memoryUsage.rss() - initialRssBytes,
      );
    }, 10);
    this.reply = await hostOf(this).request(path, { deadlineMs: 5_000 });
    clearInterval(samplingTimer);
  },
);

Then("the response is aborted within {int} ms", function (this: TroubleWorld, ms: number) {
  assert.ok(performance.now() - this.startedMs <= ms);
  assert.ok(this.reply.status === 502 || !this.reply.whole);
});

Then("the memory grew by less than {int} MB", function (this: TroubleWorld, max: number) {
  assert.ok(
    this.maxRssGrowthBytes < max * BYTES_PER_MB,
    `${this.maxRssGrowthBytes / BYTES_PER_MB} MB`,
  );
});

Then("no caller waited longer than {int} ms", function (this: TroubleWorld, max: number) {
  assert.ok(this.maxLatencyMs <= max, `${this.maxLatencyMs} ms`);
});

Then("an upstream sent a duplicate response", function (this: TroubleWorld) {
  assert.ok(hostOf(this).site.upstreams.some(({ copies }) => copies > 0));
});

Then("every engine got the handles of its own request", function (this: TroubleWorld) {
  const runs = hostOf(this).site.upstreams.flatMap(({ ran }) => ran);
  const requests = runs.filter(({ control }) => !control);
  assert.ok(requests.length > 0);
  for (const { attemptId, inputs } of requests) {
    assert.equal(inputs.length, 2);
    for (const each of inputs) assert.ok(each.includes(`/${attemptId}.`), each);
  }
});
