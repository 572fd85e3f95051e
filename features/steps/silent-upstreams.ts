import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { type AddressInfo, createServer } from "node:net";
import { Given, Then, When } from "@cucumber/cucumber";
import { SystemTimers } from "../../src/time/system-timers.js";
import { Connection } from "../../src/upstream/connection.js";
import type { VersionedFleet } from "../support/versioned-fleet.js";

const HEX = 16;
/** Field of a row of the table of TCP sockets that tells the kind of its active timer. */
const TIMER_FIELD = 5;
const NO_TIMER = "00";

interface SilentWorld {
  versionedFleet: VersionedFleet | undefined;
  timerKinds: string[];
}

Given(
  "all engines are silent for {int} ms between two events",
  function (this: SilentWorld, eventMs: number) {
    this.versionedFleet?.setPace({ events: 4, eventMs, breakAfter: Infinity });
  },
);

Then("the engines ran {int} requests", function (this: SilentWorld, count: number) {
  assert.equal(this.versionedFleet?.runs, count);
});

When(
  "a connection to an upstream is idle for {int} ms",
  async function (this: SilentWorld, ms: number) {
    const server = createServer(() => undefined);
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const { signal } = new AbortController();
    const url = `http://127.0.0.1:${port}`;
    const connection = await Connection.open(url, SystemTimers.create(), signal);
    await new Promise((resolve) => setTimeout(resolve, ms));
    const remote = `:${port.toString(HEX).toUpperCase().padStart(4, "0")}`;
    const rows = (await readFile("/proc/net/tcp", "utf8")).split("\n").map((row) => row.trim());
    this.timerKinds = rows
      .map((row) => row.split(/\s+/))
      .filter(([, , address]) => address?.endsWith(remote) === true)
      .map((fields) => fields[TIMER_FIELD]?.split(":", 1)[0] ?? "");
    connection.destroy();
    await new Promise((resolve) => server.close(resolve));
  },
);

Then("the system has no timer for it", function (this: SilentWorld) {
  assert.deepEqual(this.timerKinds, [NO_TIMER]);
});
