import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { LinkState } from "../../standin/link-state.js";
import type { PlatformAnswer } from "../../standin/platform-caller.js";
import { FrontHost } from "../support/front-host.js";

const OK = 200;
const DISCOVERY_MS = 4_500;
/** Between two requests to the same daemon. */
const INTERVAL_MS = 40;

interface IsolationWorld {
  front: FrontHost | undefined;
  cut: number;
  /** Answers by daemon. */
  answers: PlatformAnswer[][];
  /** Connections through the links of each daemon before the last requests. */
  connections: number[];
}

function hostOf({ front }: IsolationWorld): FrontHost {
  assert(front !== undefined);
  return front;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function connectionsOf(host: FrontHost): number[] {
  return host.daemons.map(({ upstreamLinks }) =>
    [...upstreamLinks.values()].reduce((sum, { accepted }) => sum + accepted, 0),
  );
}

function servedShare(answers: readonly PlatformAnswer[][]): number {
  const all = answers.flat();
  assert.ok(all.length > 0);
  return all.filter(({ status, whole }) => status === OK && whole).length / all.length;
}

Given(
  "a platform with {int} upstreams and {int} daemons that reach them through links of their own",
  { timeout: 30_000 },
  async function (this: IsolationWorld, upstreams: number, daemons: number) {
    const ids = Array.from({ length: upstreams }, (_, at) => `u${at + 1}`);
    this.front = await FrontHost.create(ids, true);
    while (this.front.daemons.length < daemons) await this.front.startDaemon(true);
    await pause(DISCOVERY_MS);
  },
);

Given(
  "the links of {int} daemons refuse connections for {int} ms",
  async function (this: IsolationWorld, count: number, ms: number) {
    this.cut = count;
    for (const { upstreamLinks } of hostOf(this).daemons.slice(0, count))
      for (const link of upstreamLinks.values()) link.state = LinkState.Refused;
    await pause(ms);
  },
);

Given(
  "the links of {int} daemons are {string} for {int} ms",
  async function (this: IsolationWorld, count: number, state: LinkState, ms: number) {
    this.cut = count;
    for (const { upstreamLinks } of hostOf(this).daemons.slice(0, count))
      for (const link of upstreamLinks.values()) link.state = state;
    await pause(ms);
  },
);

/** Sends requests without waiting for their answers. */
Given(
  "callers have asked each daemon for {string} for {int} ms",
  async function (this: IsolationWorld, path: string, ms: number) {
    const host = hostOf(this);
    const endMs = Date.now() + ms;
    while (Date.now() < endMs) {
      for (const daemon of host.daemons) void host.request(path, { pieces: 0 }, daemon);
      await pause(INTERVAL_MS);
    }
  },
);

When(
  "callers ask each daemon {int} times for {string}",
  { timeout: 60_000 },
  async function (this: IsolationWorld, count: number, path: string) {
    const host = hostOf(this);
    this.connections = connectionsOf(host);
    this.answers = await Promise.all(
      host.daemons.map(async (daemon) => {
        const answers: Promise<PlatformAnswer>[] = [];
        for (let at = 0; at < count; at += 1) {
          answers.push(host.request(path, { pieces: 0 }, daemon));
          await pause(INTERVAL_MS);
        }
        return Promise.all(answers);
      }),
    );
  },
);

When(
  "{int} callers ask each of the first {int} daemons at once for {string}",
  { timeout: 60_000 },
  async function (this: IsolationWorld, callers: number, count: number, path: string) {
    const host = hostOf(this);
    const asked = host.daemons.slice(0, count);
    this.answers = await Promise.all(
      asked.map((daemon) =>
        Promise.all(
          Array.from({ length: callers }, () => host.request(path, { pieces: 0 }, daemon)),
        ),
      ),
    );
  },
);

When(
  "all links accept connections again for {int} ms",
  async function (this: IsolationWorld, ms: number) {
    for (const { upstreamLinks } of hostOf(this).daemons)
      for (const link of upstreamLinks.values()) link.state = LinkState.Open;
    await pause(ms);
  },
);

Then(
  "callers of the cut daemons are served at least {float} times as often as those of the others",
  function (this: IsolationWorld, factor: number) {
    const cut = servedShare(this.answers.slice(0, this.cut));
    const others = servedShare(this.answers.slice(this.cut));
    assert.ok(others > 0);
    assert.ok(cut >= factor * others, `${cut} of ${others}`);
  },
);

Then("every caller is served", function (this: IsolationWorld) {
  assert.equal(servedShare(this.answers), 1);
});

Then("no request ran twice", function (this: IsolationWorld) {
  const ran = hostOf(this).site.upstreams.flatMap((upstream) => upstream.ran);
  const ids = ran.map(({ attemptId }) => attemptId);
  assert.ok(ids.length > 0);
  assert.equal(new Set(ids).size, ids.length);
});

Then(
  "each daemon got its last {int} answers through its own links",
  function (this: IsolationWorld, count: number) {
    const after = connectionsOf(hostOf(this));
    assert.equal(servedShare(this.answers), 1);
    for (const [at, connections] of after.entries())
      assert.ok(connections - (this.connections[at] ?? 0) >= count, `daemon ${at}`);
  },
);
