import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { FrontHost } from "../support/front-host.js";
import { type PartPosition, PromptLoad, type PromptRequest } from "../support/prompt-load.js";

const MS_PER_SECOND = 1_000;
/** Time in which only sound requests are sent, in ms. */
const SOUND_MS = 4_000;
/** Crash from which the bounds count, or the last one if there are fewer. */
const COUNTED_CRASH = 5;
/** Time after the crash from which sound requests must be served again, in ms. */
const RECOVERY_MS = 6_000;
const MIN_REQUESTS = 20;

interface CrashWorld {
  front: FrontHost | undefined;
  promptLoad: PromptLoad | undefined;
}

function loadOf({ promptLoad }: CrashWorld): PromptLoad {
  assert(promptLoad !== undefined);
  return promptLoad;
}

/** Share of requests whose first attempt began a response. */
function begunShare(load: PromptLoad, requests: readonly PromptRequest[]): number {
  assert.ok(requests.length >= MIN_REQUESTS, `${requests.length} requests`);
  const begun = requests.filter(
    ({ id }) => load.arrivals.find(({ attemptId }) => attemptId === id)?.begun === true,
  );
  return begun.length / requests.length;
}

After(async function (this: CrashWorld) {
  await this.promptLoad?.stop();
});

Given(
  "{int} daemons before {int} engines that crash when they begin to respond to a part",
  { timeout: 30_000 },
  async function (this: CrashWorld, daemons: number, engines: number) {
    this.promptLoad = await PromptLoad.create(daemons, engines);
    this.front = this.promptLoad.front;
  },
);

When(
  /^callers send requests for (\d+) s, of which (\d+) per second have that part (.+)$/,
  { timeout: 60_000 },
  async function (this: CrashWorld, seconds: string, perSecond: string, position: PartPosition) {
    const totalMs = SOUND_MS + Number(seconds) * MS_PER_SECOND;
    await loadOf(this).run(SOUND_MS, totalMs, Number(perSecond), position);
  },
);

Then(
  "at most {int} requests with it reach engines later than {int} s after the fifth crash",
  function (this: CrashWorld, most: number, seconds: number) {
    const { arrivals, crashes, requests } = loadOf(this);
    assert.ok(crashes.length > 0, "no engine crashed");
    const fromMs = (crashes[COUNTED_CRASH - 1] ?? Infinity) + seconds * MS_PER_SECOND;
    const deadly = new Set(requests.flatMap(({ id, deadly }) => (deadly ? [id] : [])));
    const late = arrivals.filter(({ attemptId, atMs }) => atMs > fromMs && deadly.has(attemptId));
    assert.ok(late.length <= most, `${late.length} requests; ${crashes.length} crashes`);
  },
);

Then(
  "sound requests with the same key or first part begin at least half as often as before",
  function (this: CrashWorld) {
    const load = loadOf(this);
    const sound = load.requests.filter(({ deadly }) => !deadly);
    const firstDeadlyMs = load.requests.find(({ deadly }) => deadly)?.sentMs ?? 0;
    const crashMs = load.crashes.slice(0, COUNTED_CRASH).at(-1) ?? 0;
    const before = sound.filter(({ sentMs }) => sentMs < firstDeadlyMs - MS_PER_SECOND);
    const after = sound.filter(({ sentMs }) => sentMs > crashMs + RECOVERY_MS);
    const [shareBefore, shareAfter] = [begunShare(load, before), begunShare(load, after)];
    assert.ok(shareAfter >= shareBefore / 2, `${shareAfter} after ${shareBefore}`);
  },
);
