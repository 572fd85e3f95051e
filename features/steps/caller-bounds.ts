import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { PassThrough } from "node:stream";
import { Before, Given, Then, When } from "@cucumber/cucumber";
import { BufferBudget } from "../../src/buffer/buffer-budget.js";
import { ErrorKind } from "../../src/error/error-kind.js";
import { Outcome } from "../../src/error/outcome.js";
import type { ServeError } from "../../src/error/serve-error.js";
import { CallerBody } from "../../src/intake/caller-body.js";
import { CallerConnection } from "../../src/intake/caller-connection.js";
import { CallerConnections } from "../../src/intake/caller-connections.js";
import { callerSharesOf } from "../../src/intake/caller-shares.js";
import { UnreadResponses } from "../../src/intake/unread-responses.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { SilentSocket } from "../support/silent-socket.js";

const MAX_BODY_BYTES = 1_000_000;
const MEGABYTE = 1_000_000;
const CHUNK_BYTES = 1_000;

interface BoundsWorld {
  timers: ManualTimers;
  budget: BufferBudget;
  losses: [string, string][];
  socket: SilentSocket;
  connection: CallerConnection;
  responses: EventEmitter[];
  started: number[];
  connections: CallerConnections;
  sockets: Map<string, SilentSocket>;
  unended: { bytes: number; read: Promise<Buffer> }[];
  last: Promise<Buffer>;
  reserved: boolean;
  response: SilentSocket;
}

Before(function (this: BoundsWorld) {
  this.timers = ManualTimers.create();
  this.losses = [];
  this.responses = [];
  this.started = [];
  this.sockets = new Map();
  this.unended = [];
});

function lossesOf(world: BoundsWorld): { record: (reason: string, team: string) => void } {
  return { record: (reason, team) => world.losses.push([reason, team]) };
}

Given("a connection on which {int} requests may wait", function (this: BoundsWorld, most: number) {
  this.socket = new SilentSocket();
  const socket = this.socket as unknown as Socket;
  this.connection = CallerConnection.create(socket, most, (team) => {
    this.losses.push(["requests-ahead", team]);
  });
  this.connection.owner = "one";
});

When("{int} requests arrive on it at once", function (this: BoundsWorld, count: number) {
  for (let number = 1; number <= count; number += 1) {
    const response = new EventEmitter();
    this.responses.push(response);
    this.connection.begin(response as unknown as ServerResponse, () => this.started.push(number));
  }
});

When("the response to request {int} ends", function (this: BoundsWorld, number: number) {
  this.responses[number - 1]?.emit("close");
});

Then(
  /^the requests that have started are ([\d, ]+)$/,
  function (this: BoundsWorld, started: string) {
    assert.equal(this.started.join(", "), started);
    assert.ok(!this.socket.destroyed);
  },
);

Then(
  "the connection is closed, and {string} of team {string} is logged",
  function (this: BoundsWorld, reason: string, team: string) {
    assert.ok(this.socket.destroyed);
    assert.deepEqual(this.started, [1]);
    assert.deepEqual(this.losses, [[reason, team]]);
  },
);

Given("at most {int} connections of callers", function (this: BoundsWorld, connections: number) {
  const callerShares = { bufferBytes: 0, connections, requestsAhead: 1 };
  this.connections = CallerConnections.create({ callerShares, callerLosses: lossesOf(this) });
});

When("connection {string} opens", function (this: BoundsWorld, name: string) {
  const socket = new SilentSocket();
  this.sockets.set(name, socket);
  this.connections.add(socket as unknown as Socket);
});

When("connection {string} has a request in progress", function (this: BoundsWorld, name: string) {
  const response = new EventEmitter() as unknown as ServerResponse;
  const socket = this.sockets.get(name) as unknown as Socket;
  this.connections.of(socket)?.begin(response, () => undefined);
});

Then("only {string} is closed", function (this: BoundsWorld, names: string) {
  const closed = [...this.sockets].flatMap(([name, { destroyed }]) => (destroyed ? [name] : []));
  assert.equal(closed.join(", "), names);
});

function sendBody(
  { budget, timers }: BoundsWorld,
  owner: string,
  bytes: number,
  whole: boolean,
): Promise<Buffer> {
  const message = new PassThrough();
  const headers = { "transfer-encoding": "chunked" };
  const incoming = Object.assign(message, { headers }) as unknown as IncomingMessage;
  const read = CallerBody.create(incoming, budget, timers).read(
    MAX_BODY_BYTES,
    new AbortController().signal,
    owner,
  );
  read.catch(() => undefined);
  for (let at = 0; at < bytes; at += CHUNK_BYTES) message.write(Buffer.alloc(CHUNK_BYTES));
  if (whole) message.end();
  return read;
}

async function turn(): Promise<void> {
  for (let count = 0; count < 200; count += 1)
    await new Promise((resolve) => setImmediate(resolve));
}

Given("{int} bytes of memory for all bodies", function (this: BoundsWorld, bytes: number) {
  this.budget = BufferBudget.create(bytes);
});

Given(
  "unfinished bodies of {int} and {int} bytes of team {string}",
  async function (this: BoundsWorld, first: number, second: number, team: string) {
    for (const bytes of [first, second])
      this.unended.push({ bytes, read: sendBody(this, team, bytes, false) });
    await turn();
  },
);

Given(
  "a whole body of {int} bytes of team {string}",
  async function (this: BoundsWorld, bytes: number, team: string) {
    await sendBody(this, team, bytes, true);
  },
);

When(
  "a body of {int} bytes of team {string} arrives",
  async function (this: BoundsWorld, bytes: number, team: string) {
    this.last = sendBody(this, team, bytes, true);
    await turn();
  },
);

When(
  "a body of {int} bytes of team {string} ends as {int} bytes of team {string} are reserved",
  async function (this: BoundsWorld, bytes: number, team: string, wanted: number, other: string) {
    const message = new PassThrough();
    const incoming = Object.assign(message, { headers: { "transfer-encoding": "chunked" } });
    this.last = CallerBody.create(incoming as never, this.budget, this.timers).read(
      MAX_BODY_BYTES,
      new AbortController().signal,
      team,
    );
    this.last.catch(() => undefined);
    message.once("end", () => (this.reserved = this.budget.tryReserve(wanted, other)));
    message.end(Buffer.alloc(bytes));
    await turn();
  },
);

Then(
  "the body has {int} bytes, and the others were not reserved",
  async function (this: BoundsWorld, bytes: number) {
    assert.equal((await this.last).length, bytes);
    assert.equal(this.reserved, false);
  },
);

Then("it is read whole", async function (this: BoundsWorld) {
  assert.ok((await this.last).length > 0);
});

async function assertRefused(read: Promise<Buffer>): Promise<void> {
  await assert.rejects(read, ({ kind, outcome, retryAfterMs = 0 }: ServeError) => {
    return kind === ErrorKind.Overloaded && outcome === Outcome.NotRun && retryAfterMs > 0;
  });
}

Then("it is refused as not run", async function (this: BoundsWorld) {
  await assertRefused(this.last);
});

Then(
  "the bodies of {int} bytes are refused as not run",
  async function (this: BoundsWorld, bytes: number) {
    const refused = this.unended.filter((body) => body.bytes === bytes);
    assert.equal(refused.length, 1);
    for (const { read } of refused) await assertRefused(read);
  },
);

Given(
  "a response of {int} bytes that team {string} does not read",
  function (this: BoundsWorld, bytes: number, team: string) {
    const { timers, budget: bufferBudget } = this;
    this.response = new SilentSocket();
    UnreadResponses.create({ timers, bufferBudget, callerLosses: lossesOf(this) }).hold(
      team,
      bytes,
      this.response as unknown as ServerResponse,
    );
  },
);

When("{int} ms pass without a read", async function (this: BoundsWorld, ms: number) {
  await this.timers.advance(ms);
});

Then(
  "the response is closed, and {string} of team {string} is logged",
  function (this: BoundsWorld, reason: string, team: string) {
    assert.ok(this.response.destroyed);
    assert.deepEqual(this.losses, [[reason, team]]);
  },
);

Then(
  /^with (\d+) MB and (\d+) descriptors callers get at (least|most) (\d+) connections$/,
  function (megabytes: string, descriptors: string, bound: string, count: string) {
    const { connections } = callerSharesOf({
      memoryBytes: Number(megabytes) * MEGABYTE,
      maxDescriptors: Number(descriptors),
      requestsAhead: 1,
    });
    const holds = bound === "least" ? connections >= Number(count) : connections <= Number(count);
    assert.ok(holds, String(connections));
  },
);
