import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { BufferBudget } from "../../src/buffer/buffer-budget.js";
import { RequestDialect } from "../../platform/request-dialect.js";
import type { ResponseWriter } from "../../src/forward/response-writer.js";
import type { AttemptOutcome } from "../../src/forward/attempt-outcome.js";
import { StreamProgress } from "../../src/forward/stream-progress.js";
import { UpstreamAttempt } from "../../src/forward/upstream-attempt.js";
import { SystemTimers } from "../../src/time/system-timers.js";
import { freePorts } from "../../standin/free-ports.js";
import { PlatformUpstream } from "../../standin/platform-upstream.js";
import { UpstreamMode } from "../../standin/upstream-mode.js";
import { entryOf } from "../support/forward-samples.js";

interface StreamWorld {
  upstream: PlatformUpstream | undefined;
  outcome: AttemptOutcome;
}

After(async function (this: StreamWorld) {
  await this.upstream?.stop();
});

Given("an upstream that streams events", async function (this: StreamWorld) {
  const [port = 0] = await freePorts(1);
  this.upstream = await PlatformUpstream.create("u1", port);
});

Given("the upstream stalls after its first bytes", function (this: StreamWorld) {
  assert.ok(this.upstream !== undefined);
  this.upstream.mode = UpstreamMode.Trickles;
});

When(
  "an attempt with a silence timeout of {int} ms is relayed to a caller not reading for {int} ms",
  async function (this: StreamWorld, silenceTimeoutMs: number, readPauseMs: number) {
    assert.ok(this.upstream !== undefined);
    const timers = SystemTimers.create();
    let hasPaused = readPauseMs === 0;
    const writer: Pick<ResponseWriter, "started" | "start" | "write" | "end"> = {
      started: false,
      start: () => undefined,
      write: () => {
        if (hasPaused) return undefined;
        hasPaused = true;
        return timers.sleep(readPauseMs);
      },
      end: () => undefined,
    };
    const rawHeaders = ["nutmegstage-attempt-id", "a1"];
    const signal = new AbortController().signal;
    const attempt = UpstreamAttempt.create(
      { timers, dialect: RequestDialect.create(), bufferBudget: BufferBudget.create() },
      {
        request: {
          method: "POST",
          target: "/stream/1",
          headers: {},
          rawHeaders,
          body: Buffer.alloc(0),
          arrivedMs: timers.now(),
          signal,
        },
        attemptId: "a1",
        entry: entryOf({ id: "u1", address: this.upstream.address }),
        dispatch: {
          upstream: "u1",
          remainingMs: 5_000,
          team: undefined,
          inputs: undefined,
          lastEventId: undefined,
          urgency: undefined,
        },
        writer: writer as ResponseWriter,
        progress: StreamProgress.create(undefined),
        streamed: true,
        silenceTimeoutMs,
        onResponseHead: () => undefined,
        trySend: () => true,
        onResponseStart: () => undefined,
        onAnswer: () => undefined,
        beginStream: () => undefined,
        onEvents: () => undefined,
        signal,
      },
    );
    this.outcome = await attempt.run();
  },
);

Then(/^the attempt is (relayed|broken)$/, function (this: StreamWorld, kind: string) {
  assert.equal(this.outcome.kind, kind);
});
