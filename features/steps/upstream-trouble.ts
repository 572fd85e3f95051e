import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import type { PlatformAnswer } from "../../standin/platform-caller.js";
import type { FrontHost } from "../support/front-host.js";

const BYTES_PER_MB = 1_048_576;
/** More than one call takes, and less than an upstream keeps a connection. */
const BETWEEN_MS = 60;

interface TroubleWorld {
  front: FrontHost | undefined;
  reply: PlatformAnswer;
  replies: PlatformAnswer[];
  longestMs: number;
  askedMs: number;
  mostRss: number;
}

function hostOf(world: TroubleWorld): FrontHost {
  assert.ok(world.front !== undefined);
  return world.front;
}

When(
  "{int} callers ask for streams with {int} pieces, one after the other",
  async function (this: TroubleWorld, count: number, pieces: number) {
    this.replies = [];
    this.longestMs = 0;
    for (let at = 0; at < count; at += 1) {
      const request = { id: `one-after-${at}`, pieces, pieceKey: "k" };
      const askedMs = performance.now();
      this.replies.push(await hostOf(this).request("/stream/staged/1", request));
      this.longestMs = Math.max(this.longestMs, performance.now() - askedMs);
      await new Promise((resolve) => setTimeout(resolve, BETWEEN_MS));
    }
  },
);

When(
  "a caller asks for {string}, with the memory watched",
  async function (this: TroubleWorld, path: string) {
    this.askedMs = performance.now();
    const before = process.memoryUsage.rss();
    this.mostRss = 0;
    const watch = setInterval(() => {
      this.mostRss = Math.max(this.mostRss, process.memoryUsage.rss() - before);
    }, 10);
    this.reply = await hostOf(this).request(path, { deadlineMs: 5_000 });
    clearInterval(watch);
  },
);

Then("the answer is given up within {int} ms", function (this: TroubleWorld, ms: number) {
  assert.ok(performance.now() - this.askedMs <= ms);
  assert.ok(this.reply.status === 502 || !this.reply.whole);
});

Then("the memory grew by less than {int} MB", function (this: TroubleWorld, most: number) {
  assert.ok(this.mostRss < most * BYTES_PER_MB, `${this.mostRss / BYTES_PER_MB} MB`);
});

Then("no caller waited longer than {int} ms", function (this: TroubleWorld, most: number) {
  assert.ok(this.longestMs <= most, `${this.longestMs} ms`);
});

Then("an upstream sent a copy of an answer", function (this: TroubleWorld) {
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
