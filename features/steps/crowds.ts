import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { DaemonProcess, DaemonProgram } from "../../standin/daemon-process.js";
import { Fleet } from "../../standin/fleet.js";
import { askPlatform } from "../../standin/platform-caller.js";
import { platformConfiguration } from "../../standin/platform-configuration.js";
import { PlatformSite } from "../../standin/platform-site.js";
import { sampleCredentials } from "../../standin/sample-configuration.js";
import { post } from "../support/caller.js";
import { Crowd, type CrowdTarget } from "../support/crowd.js";
import type { CrowdKind } from "../support/crowd-kind.js";
import { ProcessUsage } from "../support/process-usage.js";
import { ownTarget, platformTarget } from "../support/crowd-targets.js";

const MEBIBYTE = 1_048_576;
const OK = 200;
const DESCRIPTORS = 400;
const PLAY_MS = 4_000;
const MEASURE_MS = 100;
const RETRY_MS = 500;
/** Tries of the ordinary request, each of which may be refused. */
const TRIES = 30;
const TEAMS = 8;
const ORDINARY_KEY = "ordinary-key";

interface CrowdWorld {
  directory?: string;
  site?: PlatformSite;
  daemonProcess?: DaemonProcess;
  fleet: Fleet;
  crowd?: Crowd;
  usage: ProcessUsage;
  target: (keys: string) => CrowdTarget;
  isAlive: () => boolean;
  /** Resolves with the status of one ordinary request. */
  ask: (number: number) => Promise<number>;
}

After({ tags: "@crowds" }, async function (this: CrowdWorld) {
  this.crowd?.stop();
  await this.daemonProcess?.end("SIGKILL");
  await this.site?.stop();
  if (this.directory !== undefined) await rm(this.directory, { recursive: true });
});

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** A team of an ordinary caller beside the teams of the crowd. */
function configurationOf(version: number): object {
  const teams = Array.from({ length: TEAMS }, (_, at) => ({
    name: `team-${at}`,
    "api-keys": [`key-${at}`],
    priority: 0,
  }));
  const ordinary = { name: "ordinary", "api-keys": [ORDINARY_KEY], priority: 0 };
  const base = platformConfiguration(version, []) as object;
  return { ...base, tenants: [...teams, ordinary] };
}

Given(
  /^a daemon process with a heap of (\d+) MiB and memory of (\d+) MiB(?:, and answers of (\d+) bytes)?$/,
  async function (this: CrowdWorld, heapMiB: string, memory: string, bytes: string | null) {
    const site = await PlatformSite.create(["u1", "u2"], ORDINARY_KEY);
    this.site = site;
    site.store.put("op", "config", configurationOf(100));
    for (const upstream of site.upstreams) upstream.addedBytes = Number(bytes ?? 0);
    const ports = { ...(await PlatformSite.daemonPorts()), store: site.storePort };
    const settings = site.settingsOf("crowded", ports, "error") as object;
    const limits = { memoryBytes: Number(memory) * MEBIBYTE, maxDescriptors: DESCRIPTORS };
    this.directory = await mkdtemp(join(tmpdir(), "crowds-"));
    const daemon = await DaemonProcess.create(
      DaemonProgram.Platform,
      this.directory,
      "crowded",
      { ...settings, limits },
      { heapMiB: Number(heapMiB), descriptors: DESCRIPTORS },
    );
    this.daemonProcess = daemon;
    this.usage = ProcessUsage.create(daemon.pid);
    this.isAlive = () => daemon.running;
    this.target = (keys) => platformTarget(ports.callers, keys, TEAMS);
    this.ask = async (number) => {
      const { callers: port } = ports;
      const asked = { port, path: "/plain/1", id: `ordinary-${number}`, key: ORDINARY_KEY };
      return (await askPlatform(asked)).status;
    };
    await untilServed(this);
  },
);

Given(
  "a daemon process of the product with a heap of {int} MiB",
  { timeout: 60_000 },
  async function (this: CrowdWorld, heapMiB: number) {
    this.fleet = await Fleet.create({
      daemons: 1,
      services: { encoder: 1, retriever: 1, reranker: 1, advice: 1, booking: 1 },
      runtimeOptions: [`--max-old-space-size=${heapMiB}`],
      settings: (settings) => ({
        ...settings,
        limits: { ...settings.limits, connections: DESCRIPTORS / 2 },
      }),
    });
    const { child, url, settings } = this.fleet.daemon(1);
    this.usage = ProcessUsage.create(child.pid);
    this.isAlive = () => child.running;
    this.target = (keys) => ownTarget(settings.callers.port, keys);
    this.ask = async (number) => {
      const body = { class: "chat", deadlineMs: 5_000, input: { text: "x" } };
      const headers = { "idempotency-key": `ordinary-${number}` };
      const credential = sampleCredentials.branches;
      const request = { credential, pipeline: "advice", headers, body };
      return post(url, request).then(
        ({ status }) => status,
        () => 0,
      );
    };
    await untilServed(this);
  },
);

/** Sends the ordinary request, again while it is refused, and returns the statuses. */
async function untilServed({ ask }: CrowdWorld): Promise<number[]> {
  const statuses: number[] = [];
  while (statuses.length < TRIES && statuses.at(-1) !== OK) {
    if (statuses.length > 0) await pause(RETRY_MS);
    statuses.push(await ask(statuses.length));
  }
  return statuses;
}

When(
  /^a crowd of (\d+) connections with (no|one|many) keys? sends (.+) and reads nothing$/,
  async function (this: CrowdWorld, connections: string, keys: string, kind: CrowdKind) {
    this.crowd = Crowd.create(this.target(keys), kind, Number(connections));
    for (let ms = 0; ms < PLAY_MS && this.isAlive(); ms += MEASURE_MS) {
      await pause(MEASURE_MS);
      await this.usage.measure();
    }
  },
);

Then(
  "the process lives, within {int} MiB and {int} descriptors, and answers an ordinary request",
  { timeout: 120_000 },
  async function (this: CrowdWorld, memory: number, descriptors: number) {
    const statuses = await untilServed(this);
    await this.usage.measure();
    const { mostResidentBytes, mostDescriptors } = this.usage;
    const resident = Math.ceil(mostResidentBytes / MEBIBYTE);
    const alive = this.isAlive();
    const seen = `${alive ? "lives" : "ended"}, ${resident} MiB, ${mostDescriptors} descriptors, statuses ${statuses.join(" ")}`;
    if (process.env.CROWD_FIGURES !== undefined) process.stdout.write(`\n${seen}\n`);
    assert.ok(alive, seen);
    assert.ok(resident <= memory, seen);
    assert.ok(mostDescriptors <= descriptors, seen);
    assert.equal(statuses.at(-1), OK, seen);
  },
);
