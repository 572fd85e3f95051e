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

interface ProgramWorld {
  front: FrontHost;
  logDirectory: string | undefined;
  daemonProcess: SoakDaemon | undefined;
  readiness: number;
  exit: Promise<number | null> | undefined;
}

After(async function (this: ProgramWorld) {
  await this.daemonProcess?.end("SIGKILL");
  if (this.logDirectory !== undefined) await rm(this.logDirectory, { recursive: true });
});

When(
  /^a daemon process is started and gets (SIGHUP|SIGTERM) after (\d+) ms$/,
  async function (this: ProgramWorld, signal: "SIGHUP" | "SIGTERM", ms: string) {
    const timers = SystemTimers.create();
    this.logDirectory = await mkdtemp(join(tmpdir(), "front-program-"));
    const [callers = 0, readiness = 0, peers = 0, metrics = 0] = await freePorts(4);
    const settings = this.front.settingsOf("program", { callers, readiness, peers, metrics });
    this.readiness = readiness;
    this.daemonProcess = await SoakDaemon.create(timers, this.logDirectory, "program", settings);
    await timers.sleep(Number(ms));
    if (signal === "SIGHUP") this.daemonProcess.signal(signal);
    else this.exit = this.daemonProcess.end(signal);
  },
);

Then("the daemon process becomes ready", async function (this: ProgramWorld) {
  const end = Date.now() + READY_MS;
  while (!(await this.front.ready(this.readiness))) {
    assert.deepEqual(this.daemonProcess?.ownEnds, []);
    assert.ok(Date.now() < end, "not ready in time");
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
});

Then(
  "the daemon process ends with code 0 within its grace period",
  async function (this: ProgramWorld) {
    const startMs = Date.now();
    assert.equal(await this.exit, 0);
    assert.ok(Date.now() - startMs < GRACE_S * 1_000);
  },
);
