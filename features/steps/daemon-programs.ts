import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Then, When } from "@cucumber/cucumber";
import { SoakDaemon } from "../../soak/soak-daemon.js";
import { SystemTimers } from "../../src/time/system-timers.js";
import { freePorts } from "../../standin/free-ports.js";
import type { FrontHost } from "../support/front-host.js";

const GRACE_S = 8;
const READY_MS = 10_000;
const POLL_MS = 50;
const SIGNAL_POLL_MS = 5;

interface ProgramWorld {
  front: FrontHost;
  logDirectory: string | undefined;
  daemonProcess: SoakDaemon | undefined;
  programReadiness: number;
  startedMs: number;
  handledMs: number;
  readyMs: number;
  exit: Promise<number | null> | undefined;
}

After(async function (this: ProgramWorld) {
  await this.daemonProcess?.end("SIGKILL");
  if (this.logDirectory !== undefined) await rm(this.logDirectory, { recursive: true });
});

When(
  /^a daemon process is started and gets (SIGHUP|SIGTERM) as soon as it handles signals$/,
  async function (this: ProgramWorld, signal: "SIGHUP" | "SIGTERM") {
    const timers = SystemTimers.create();
    this.logDirectory = await mkdtemp(join(tmpdir(), "front-program-"));
    const [callers = 0, readiness = 0, peers = 0, metrics = 0] = await freePorts(4);
    const settings = this.front.settingsOf("program", { callers, readiness, peers, metrics });
    this.programReadiness = readiness;
    this.startedMs = timers.now();
    this.daemonProcess = await SoakDaemon.create(this.logDirectory, "program", settings);
    const end = timers.now() + READY_MS;
    while (!(await this.daemonProcess.handlesSignals())) {
      assert.ok(timers.now() < end, "no handler in time");
      await timers.sleep(SIGNAL_POLL_MS);
    }
    this.handledMs = timers.now() - this.startedMs;
    if (signal === "SIGHUP") this.daemonProcess.signal(signal);
    else this.exit = this.daemonProcess.end(signal);
  },
);

Then("the daemon process becomes ready", async function (this: ProgramWorld) {
  const end = Date.now() + READY_MS;
  while (!(await this.front.ready(this.programReadiness))) {
    assert.deepEqual(this.daemonProcess?.ownEnds, []);
    assert.ok(Date.now() < end, "not ready in time");
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  this.readyMs = performance.now() - this.startedMs;
});

Then("it handled signals in the first half of its start", function (this: ProgramWorld) {
  assert.ok(this.handledMs < this.readyMs / 2, `${this.handledMs} of ${this.readyMs} ms`);
});

Then(
  "the daemon process ends with code 0 within its grace period",
  async function (this: ProgramWorld) {
    const startMs = Date.now();
    assert.equal(await this.exit, 0);
    assert.ok(Date.now() - startMs < GRACE_S * 1_000);
  },
);
