import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import type { AwilixContainer } from "awilix";
import { decodeConfiguration } from "../../platform/configuration-decoder.js";
import { parseWarmupMs } from "../../platform/warmup.js";
import type { FrontCradle } from "../../src/daemon/front-container.js";
import { ServeError } from "../../src/error/serve-error.js";
import { parseWarmupOption } from "../../src/settings/warmup-option.js";
import { warmupPace } from "../../src/warmup/warmup-bounds.js";

interface DaemonWorld {
  place: string;
  container: AwilixContainer<FrontCradle>;
}

When("the evacuation of {string} ends there", function (this: DaemonWorld, dataCentre: string) {
  const { evacuations } = this.container.cradle;
  for (const evacuated of [true, false]) evacuations.apply([{ dataCentre, evacuated }], 0);
  this.place = dataCentre;
});

Then("its upstreams count as unknown from then on", function (this: DaemonWorld) {
  const { evacuationEnds, evacuations } = this.container.cradle;
  assert.notEqual(evacuationEnds.endedMs(this.place), undefined);
  assert.equal(evacuationEnds.endedMs(this.place), evacuations.endedMs(this.place));
});

Then(/^the option "(.*)" gives "(.*)"$/, function (text: string, expected: string) {
  let result: string;
  try {
    const bounds = parseWarmupOption(text);
    result = bounds === undefined ? "undefined" : JSON.stringify(bounds);
  } catch (error) {
    assert.ok(error instanceof ServeError);
    result = error.kind;
  }
  assert.equal(result, expected);
});

Then(
  "the pace of {float} requests per second, factor {float} and slack {float} is {float}",
  function (perSecond: number, factor: number, slack: number, pace: number) {
    assert.ok(Math.abs(warmupPace(perSecond, { factor, slack }) - pace) < 0.01);
  },
);

Then(
  /^a response with the remaining time "(.*)" states (\d+|undefined)$/,
  function (text: string, ms: string) {
    assert.equal(String(parseWarmupMs(text)), ms);
  },
);

Then(
  /^a service with the rate (\S+) has the warm-up "(.*)"$/,
  function (rate: string, warmup: string) {
    const cold = rate === "absent" ? {} : { "cold-per-s": Number(rate), "cold-start-s": 3 };
    const services = [{ name: "s", ...cold }];
    const { services: decoded } = decodeConfiguration(
      JSON.stringify({ version: 1, routes: [], services }),
    );
    const value = decoded.get("s")?.warmup;
    assert.equal(value === undefined ? "undefined" : JSON.stringify(value), warmup);
  },
);
