import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { checkPromises } from "../../soak/promise-check.js";
import type { KeyChange, Leaving } from "../../soak/soak-fleet.js";
import type { RequestKind, SoakRequest } from "../../soak/soak-request.js";
import { TroubleLog } from "../../soak/trouble-log.js";
import type { SeenRequest } from "../../standin/platform-upstream.js";

const ID = "r1";
const KEY = "key-0";
const SENT_MS = 100_000;
const ENDED_MS = 100_050;
const EVENTS = [1, 2, 3, 4, 5];

interface ChecksWorld {
  asked: SoakRequest;
  others: SoakRequest[];
  runs: SeenRequest[];
  keys: KeyChange[];
  leavings: Leaving[];
  troubles: TroubleLog;
}

function streamOf(events: readonly number[]): string {
  return events.map((event) => `id: ${event}\ndata: token\n\n`).join("");
}

function change(world: ChecksWorld, fields: Partial<SoakRequest>): void {
  world.asked = { ...world.asked, ...fields };
}

function changeRun(world: ChecksWorld, fields: Partial<SeenRequest>): void {
  world.runs = world.runs.map((run) => ({ ...run, ...fields }));
}

function findings(world: ChecksWorld): string[] {
  const { runs, keys, leavings, troubles, asked, others } = world;
  const witness = { ran: runs, seen: runs, keys, leavings, troubles, daemons: 2 };
  return checkPromises(witness, [asked, ...others]);
}

Given(
  "a request of kind {string} that was answered well and ran once",
  function (this: ChecksWorld, kind: RequestKind) {
    this.asked = {
      id: ID,
      kind,
      first: ID,
      after: 0,
      daemon: 0,
      key: KEY,
      sentMs: SENT_MS,
      endedMs: ENDED_MS,
      status: 200,
      body: kind.startsWith("stream/") ? streamOf(EVENTS) : `answer to ${ID}`,
      whole: true,
      answered: ID,
      signature: "stamp-u1",
      retryAfterMs: undefined,
    };
    this.runs = [
      {
        atMs: SENT_MS + 10,
        upstream: "u1",
        method: "POST",
        url: `/${kind}/${ID}`,
        body: `body of ${ID}`,
        control: false,
        attemptId: ID,
        team: "team-1",
        key: undefined,
        leftMs: 1_000,
        inputs: [],
        limit: undefined,
      },
    ];
    this.others = [];
    this.keys = [{ key: KEY, fromMs: 0 }];
    this.leavings = [];
    this.troubles = TroubleLog.create();
  },
);

When("it runs a second time", function (this: ChecksWorld) {
  this.runs = [...this.runs, ...this.runs];
});

When(
  "its upstream gets {int} such requests in {int} s from 4 s after it states a limit of {int}",
  function (this: ChecksWorld, count: number, seconds: number, limit: number) {
    const [run] = this.runs;
    assert.ok(run !== undefined);
    changeRun(this, { limit });
    for (let at = 0; at < count; at += 1) {
      const id = `limited-${at}`;
      const atMs = run.atMs + 4_000 + (at * seconds * 1_000) / count;
      const url = run.url.replace(ID, id);
      const body = run.body.replace(ID, id);
      this.runs.push({ ...run, limit, attemptId: id, url, body, atMs });
      const times = { sentMs: atMs - 10, endedMs: atMs + 20 };
      const answered = { id, first: id, answered: id, body: `answer to ${id}` };
      this.others.push({ ...this.asked, ...answered, ...times });
    }
  },
);

When("it was resumed and went on at another version", function (this: ChecksWorld) {
  const body = (event: number, version: string): string =>
    `id: ${event}\ndata: token ${event} of ${version}\n\n`;
  change(this, { whole: false, body: [1, 2].map((event) => body(event, "v1")).join("") });
  const rest = [3, 4, 5].map((event) => body(event, "v2")).join("");
  const id = `${ID}-1`;
  this.others.push({ ...this.asked, id, after: 2, answered: id, body: rest, whole: true });
});

When(
  "{int} of {int} requests were refused at a daemon without upstreams, and none at the other one",
  function (this: ChecksWorld, refused: number, count: number) {
    this.troubles.begin("upstream links 0", SENT_MS - 5_000)(ENDED_MS + 5_000);
    for (let at = 0; at < 2 * count; at += 1) {
      const id = `other-${at}`;
      const status = at < refused ? 503 : 200;
      const names = { id, first: id, answered: id, body: `answer to ${id}` };
      this.others.push({ ...this.asked, ...names, status, daemon: at < count ? 0 : 1 });
    }
  },
);

When("it was answered {int}", function (this: ChecksWorld, status: number) {
  change(this, { status });
});

When("its answer names another request", function (this: ChecksWorld) {
  change(this, { answered: "r2" });
});

When("its answer is not signed", function (this: ChecksWorld) {
  change(this, { signature: undefined });
});

When("its answer is incomplete and ends as complete", function (this: ChecksWorld) {
  change(this, { body: "answer" });
});

When("an event is missing", function (this: ChecksWorld) {
  change(this, { body: streamOf(EVENTS.filter((event) => event !== 3)) });
});

When("another request runs", function (this: ChecksWorld) {
  this.runs = [...this.runs, ...this.runs.map((run) => ({ ...run, attemptId: "r2" }))];
});

When("it runs with another body", function (this: ChecksWorld) {
  changeRun(this, { body: "another body" });
});

When("it runs with its key", function (this: ChecksWorld) {
  changeRun(this, { key: KEY });
});

When("its key was removed {int} s before", function (this: ChecksWorld, seconds: number) {
  this.keys.push({ key: "key-1", fromMs: SENT_MS - seconds * 1_000 });
});

When("its key was replaced while it was under way", function (this: ChecksWorld) {
  this.keys.push({ key: "key-1", fromMs: SENT_MS + 1 });
});

When("its key was replaced after its answer", function (this: ChecksWorld) {
  this.keys.push({ key: "key-1", fromMs: ENDED_MS + 1 });
});

When("its upstream had left {int} s before", function (this: ChecksWorld, seconds: number) {
  this.leavings.push({ upstream: "u1", fromMs: SENT_MS - seconds * 1_000 });
});

When("its daemon was disturbed a second before", function (this: ChecksWorld) {
  this.troubles.begin("daemon 0", SENT_MS - 1_000)(SENT_MS - 900);
});

Then("the checks find nothing", function (this: ChecksWorld) {
  assert.deepEqual(findings(this), []);
});

Then("the checks find {string}", function (this: ChecksWorld, finding: string) {
  const found = findings(this);
  assert.ok(
    found.some((each) => each.includes(finding)),
    found.join("; "),
  );
});
