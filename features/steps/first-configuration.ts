import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Fleet } from "../../standin/fleet.js";
import { sampleConfiguration } from "../../standin/sample-configuration.js";
import { type ClientResult, runClient } from "../support/client-run.js";
import { serviceCounts } from "../support/service-counts.js";
import type { ScenarioWorld } from "../support/world.js";

interface World extends ScenarioWorld {
  client?: ClientResult;
}

Given(
  /^an unconfigured fleet of (\d+) daemons with (.+)$/,
  async function (this: World, daemons: string, services: string) {
    const size = { daemons: Number(daemons), services: serviceCounts(services) };
    this.fleet = await Fleet.create({ ...size, unconfigured: true });
  },
);

When(
  "the operator applies the sample document on version {int} through daemon {int}",
  async function (this: World, version: number, daemon: number) {
    const { upstreams, daemons } = this.fleet;
    const sample = [...upstreams].map(([id, { url }]) => ({
      id,
      service: id.split("-")[0] ?? "",
      port: Number(new URL(url).port),
    }));
    const port = daemons[daemon - 1]?.settings.operators.port ?? 0;
    const options = ["config", "apply", "document.json", "--base-version", String(version)];
    const server = `http://127.0.0.1:${port}`;
    this.client = await runClient(server, [...options, "--wait"], sampleConfiguration(sample));
  },
);

Then("the client ended with {int}", function (this: World, code: number) {
  assert.equal(this.client?.code, code, this.client?.output);
});
