import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import type { PlatformAnswer } from "../../standin/platform-caller.js";
import { PlatformSite } from "../../standin/platform-site.js";
import type { FrontHost } from "../support/front-host.js";

const POLL_INTERVAL_MS = 25;
const REQUEST_SENT_DELAY_MS = 100;

interface StopWorld {
  front: FrontHost | undefined;
  reply: PlatformAnswer;
}

function hostOf(world: StopWorld): FrontHost {
  assert.ok(world.front !== undefined);
  return world.front;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

When(
  "a caller asks for a stream with 0 pieces and the daemon is stopped meanwhile",
  async function (this: StopWorld) {
    const host = hostOf(this);
    const pendingReply = host.request("/stream/staged/1", { pieces: 0 });
    await pause(REQUEST_SENT_DELAY_MS);
    const shutdown = host.first.daemon.stop();
    assert.equal(await PlatformSite.isReady(host.first.readiness), false);
    this.reply = await pendingReply;
    await shutdown;
  },
);

When(
  "a caller asks for {string} and disconnects after {int} ms",
  async function (this: StopWorld, path: string, ms: number) {
    this.reply = await hostOf(this).request(path, { signal: AbortSignal.timeout(ms) });
  },
);

Then("the daemon is no longer ready", async function (this: StopWorld) {
  assert.equal(await PlatformSite.isReady(hostOf(this).first.readiness), false);
});

Then(
  "the daemon has no request in progress within {int} ms",
  async function (this: StopWorld, ms: number) {
    const { daemon } = hostOf(this).first;
    const end = Date.now() + ms;
    while (daemon.inProgress > 0 && Date.now() < end) await pause(POLL_INTERVAL_MS);
    assert.equal(daemon.inProgress, 0);
  },
);
