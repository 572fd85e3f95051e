import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { PlatformRowDecoder } from "../../platform/platform-row-decoder.js";
import type { FrontHost } from "../support/front-host.js";

const SOUND = {
  ...{ service: "pool", address: "127.0.0.1:8080", zone: "a", slots: 4, state: "ready" },
  ...{ "cold-left-ms": 0, born: 1, seq: 1, version: "v1" },
};
const NESTING = 50_000;
const MAX_PORT = 65_535;
/** Requests that were sent before the upstream drained. */
const EARLIER_REQUESTS = 8;
const FIELDS = Object.keys(SOUND);

interface OddWorld {
  front: FrontHost | undefined;
}

const decoder = PlatformRowDecoder.create();

function assertUsable(text: string): void {
  const entry = decoder.upstream("x", text);
  const write = decoder.upstreamWrite("x", text);
  if (entry === undefined || write === undefined) return;
  const { port } = new URL(`http://${entry.address}`);
  assert.ok(Number(port || "80") > 0 && Number(port || "80") <= MAX_PORT, entry.address);
  for (const value of [entry.slots, entry.startedMs, write.sequence])
    assert.ok(Number.isSafeInteger(value) && value >= 0, text);
  assert.ok(entry.slots > 0 && entry.warmupMs >= 0 && entry.warmupMs < 2 ** 31, text);
}

Then(
  /^an entry with "(.+)" (\S+) names no upstream$/,
  function (this: OddWorld, field: string, value: string) {
    const text = JSON.stringify({ ...SOUND, [field]: null }).replace(
      `${JSON.stringify(field)}:null`,
      `${JSON.stringify(field)}:${value}`,
    );
    assert.notEqual(decoder.upstream("x", JSON.stringify(SOUND)), undefined);
    assert.equal(decoder.upstream("x", text), undefined);
  },
);

Then(
  "{int} random entries are decoded to usable values or name no upstream",
  { timeout: 60_000 },
  function (count: number) {
    const value = fc.oneof(
      fc.double(),
      fc.integer(),
      fc.string(),
      fc.ipV4(),
      fc.tuple(fc.ipV4(), fc.integer()).map(([ip, port]) => `${ip}:${port}`),
      fc.jsonValue(),
    );
    const entry = fc.record({ fields: fc.subarray(FIELDS), values: fc.array(value) });
    fc.assert(
      fc.property(entry, ({ fields, values }) => {
        const odd = Object.fromEntries(fields.map((field, at) => [field, values[at]]));
        assertUsable(JSON.stringify({ ...SOUND, ...odd }));
      }),
      { numRuns: count, seed: 1 },
    );
  },
);

When("the store has an entry of each odd kind", function (this: OddWorld) {
  const { front } = this;
  assert(front !== undefined);
  const { store } = front.site;
  const odd: readonly object[] = [
    { address: "127.0.0.1:99999" },
    { address: "127.0.0.1:0" },
    { address: "...:80" },
    { address: "999.1.1.1:80" },
    { slots: -5 },
    { slots: 1e300 },
    { "cold-left-ms": 1e300 },
    { born: 1e308 },
    { seq: 1e308 },
  ];
  for (const [at, fields] of odd.entries())
    store.put("servers", `odd${at}`, { ...SOUND, ...fields });
  store.putText("servers", "deep", `{"service":${"[".repeat(NESTING)}${"]".repeat(NESTING)}}`);
  store.putText("servers", "large", '{"service":"pool","slots":1e400}');
  store.putText("servers", "text", "\u0000\ufffd{");
});

Then("no further request reached {string}", function (this: OddWorld, id: string) {
  const upstream = this.front?.site.upstreams.find((each) => each.id === id);
  assert(upstream !== undefined);
  const requests = upstream.seen.filter(({ url }) => url.startsWith("/plain/"));
  assert.ok(requests.length <= EARLIER_REQUESTS, `${requests.length} requests`);
});
