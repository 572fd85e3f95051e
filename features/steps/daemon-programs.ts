import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Then, When } from "@cucumber/cucumber";
import { SystemTimers } from "../../src/time/system-timers.js";
import { DaemonProcess, DaemonProgram } from "../../standin/daemon-process.js";
import { freePorts } from "../../standin/free-ports.js";
import { PlatformSite } from "../../standin/platform-site.js";
import type { FrontHost } from "../support/front-host.js";

const GRACE_SECONDS = 8;
const READY_TIMEOUT_MS = 10_000;
const READINESS_POLL_INTERVAL_MS = 50;
const SIGNAL_POLL_INTERVAL_MS = 5;

interface ProgramWorld {
  front: FrontHost;
  logDirectory: string | undefined;
  daemonProcess: DaemonProcess | undefined;
  readinessPort: number;
  startedMs: number;
  handlesSignalsMs: number;
  readyMs: number;
  exit: Promise<number | null> | undefined;
}

After(async function (this: ProgramWorld) {
  await this.daemonProcess?.end("SIGKILL");
  if (this.logDirectory !== undefined) await rm(this.logDirectory, { recursive: true });
});

/** Starts a program and sends the signal as soon as its signal handlers are installed. */
async function startAndSignal(
  world: ProgramWorld,
  program: DaemonProgram,
  settings: unknown,
  signal: "SIGHUP" | "SIGTERM",
): Promise<void> {
  const timers = SystemTimers.create();
  world.logDirectory = await mkdtemp(join(tmpdir(), "daemon-program-"));
  world.startedMs = timers.now();
  const started = await DaemonProcess.create(program, world.logDirectory, "program", settings);
  world.daemonProcess = started;
  const end = timers.now() + READY_TIMEOUT_MS;
  while (!(await started.handlesSignals())) {
    assert.deepEqual(started.ownEnds, []);
    assert.ok(timers.now() < end, "no signal handler was installed in time");
    await timers.sleep(SIGNAL_POLL_INTERVAL_MS);
  }
  world.handlesSignalsMs = timers.now() - world.startedMs;
  if (signal === "SIGHUP") started.signal(signal);
  else world.exit = started.end(signal);
}

When(
  /^a daemon process is started and gets (SIGHUP|SIGTERM) as soon as it handles signals$/,
  async function (this: ProgramWorld, signal: "SIGHUP" | "SIGTERM") {
    const { site } = this.front;
    const ports = { ...(await PlatformSite.daemonPorts()), store: site.storePort };
    this.readinessPort = ports.readiness;
    const settings = site.settingsOf("program", ports, "info");
    await startAndSignal(this, DaemonProgram.Platform, settings, signal);
  },
);

When(
  "a daemon of the product is started and gets SIGTERM as soon as it handles signals",
  async function (this: ProgramWorld) {
    const [callers = 0, peers = 0, operators = 0] = await freePorts(3);
    const addressOf = (port: number): object => ({ host: "127.0.0.1", port });
    const unreachable = { endpoint: "http://127.0.0.1:1" };
    const settings = {
      instance: { id: "a", dataCentre: "fes-a" },
      callers: addressOf(callers),
      peers: { ...addressOf(peers), secret: "a-secret-between-peers" },
      operators: {
        ...addressOf(operators),
        credentials: [{ name: "amal", digest: "0".repeat(64) }],
      },
      table: { ...unreachable, accessKeyId: "local", secretAccessKey: "local" },
      instanceList: unreachable,
      bounds: { graceMs: GRACE_SECONDS * 1_000 },
    };
    await startAndSignal(this, DaemonProgram.Own, settings, "SIGTERM");
  },
);

Then("the daemon process becomes ready", async function (this: ProgramWorld) {
  const end = Date.now() + READY_TIMEOUT_MS;
  while (!(await PlatformSite.isReady(this.readinessPort))) {
    assert.deepEqual(this.daemonProcess?.ownEnds, []);
    assert.ok(Date.now() < end, "the daemon did not become ready in time");
    await new Promise((resolve) => setTimeout(resolve, READINESS_POLL_INTERVAL_MS));
  }
  this.readyMs = performance.now() - this.startedMs;
});

Then(
  "its signal handlers were installed in the first half of its start",
  function (this: ProgramWorld) {
    assert.ok(
      this.handlesSignalsMs < this.readyMs / 2,
      `${this.handlesSignalsMs} of ${this.readyMs} ms`,
    );
  },
);

Then(
  "the daemon process ends with code 0 within its grace period",
  async function (this: ProgramWorld) {
    const startMs = Date.now();
    assert.equal(await this.exit, 0);
    assert.ok(Date.now() - startMs < GRACE_SECONDS * 1_000);
  },
);
