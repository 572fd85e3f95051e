import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { BrittleUpstream } from "../../standin/brittle-upstream.js";
import { freePorts } from "../../standin/free-ports.js";
import { FrontHost } from "../support/front-host.js";

const WORK_MS = 100;
const DISCOVERY_MS = 3_000;
const MS_PER_SECOND = 1_000;
const TICK_MS = 20;
const DEADLINE_MS = 2_000;

interface BrittleWorld {
  front: FrontHost | undefined;
  brittle: BrittleUpstream[] | undefined;
  startedMs: number;
  seconds: number;
  /** Requests served by then, each second. */
  servedBySecond: number[];
}

function brittleOf({ brittle }: BrittleWorld): BrittleUpstream[] {
  assert(brittle !== undefined);
  return brittle;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

After(async function (this: BrittleWorld) {
  await Promise.all((this.brittle ?? []).map((upstream) => upstream.stop()));
});

Given(
  "{int} daemons before {int} upstreams with {int} slots that bear {int} rejections per second",
  { timeout: 30_000 },
  async function (
    this: BrittleWorld,
    daemons: number,
    count: number,
    slots: number,
    tolerated: number,
  ) {
    const front = await FrontHost.create([]);
    this.front = front;
    const register = (id: string, entry: Record<string, unknown> | undefined): void => {
      front.site.store.put("servers", id, entry);
    };
    const settings = { slots, workMs: WORK_MS, tolerated, register };
    const ports = await freePorts(count);
    this.brittle = await Promise.all(
      ports.map((port, at) => BrittleUpstream.create(`b${at}`, port, settings)),
    );
    while (front.daemons.length < daemons) await front.startDaemon();
    await pause(DISCOVERY_MS);
  },
);

When(
  "callers send {int} requests per second for {int} s",
  { timeout: 60_000 },
  async function (this: BrittleWorld, perSecond: number, seconds: number) {
    const { front } = this;
    assert(front !== undefined);
    this.startedMs = Date.now();
    this.servedBySecond = [];
    this.seconds = seconds;
    const requests: Promise<unknown>[] = [];
    let sent = 0;
    for (let second = 1; second <= seconds; second += 1) {
      while (Date.now() < this.startedMs + second * MS_PER_SECOND) {
        const due = ((Date.now() - this.startedMs) * perSecond) / MS_PER_SECOND;
        for (; sent < due; sent += 1) {
          const daemon = front.daemons[sent % front.daemons.length];
          requests.push(front.request(`/plain/${sent}`, { deadlineMs: DEADLINE_MS }, daemon));
        }
        await pause(TICK_MS);
      }
      this.servedBySecond.push(brittleOf(this).reduce((sum, { served }) => sum + served, 0));
    }
    await Promise.all(requests);
  },
);

Then(
  "the upstreams end at most {int} times after the first {int} s",
  function (this: BrittleWorld, most: number, seconds: number) {
    const fromMs = this.startedMs + seconds * MS_PER_SECOND;
    const falls = brittleOf(this).flatMap((upstream) => upstream.falls);
    const late = falls.filter((atMs) => atMs >= fromMs);
    assert.ok(late.length <= most, `${late.length} of ${falls.length} falls`);
  },
);

Then(
  "the upstreams serve at least {int} requests per second after the first {int} s",
  function (this: BrittleWorld, least: number, seconds: number) {
    const before = this.servedBySecond[seconds - 1] ?? 0;
    const served = (this.servedBySecond.at(-1) ?? 0) - before;
    const perSecond = served / (this.seconds - seconds);
    assert.ok(perSecond >= least, `${perSecond} requests per second`);
  },
);
