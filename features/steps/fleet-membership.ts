import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { Fleet, type FleetDaemon, OPERATOR_CREDENTIAL } from "../../standin/fleet.js";
import type { ScenarioWorld } from "../support/world.js";

const POLL_MS = 100;
const SECOND_MS = 1_000;

/** State of a member as a daemon reports it to operators. */
async function fetchMemberState(
  { settings }: FleetDaemon,
  id: string,
): Promise<string | undefined> {
  const { host, port } = settings.operators;
  const response = await fetch(`http://${host}:${port}/v1/status`, {
    headers: { authorization: `Bearer ${OPERATOR_CREDENTIAL}` },
  });
  const { members } = (await response.json()) as { members: { id: string; state: string }[] };
  return members.find((member) => member.id === id)?.state;
}

Given(
  "a fleet of {int} daemons that suspect after {int} ms and declare dead after {int} ms",
  async function (this: ScenarioWorld, daemons: number, suspicionMs: number, deathMs: number) {
    this.fleet = await Fleet.create({
      ...{ daemons, services: { encoder: 1, retriever: 1, reranker: 1, advice: 1, booking: 1 } },
      settings: (settings) => {
        const bounds = { ...settings.bounds, heartbeatMs: 500, suspicionMs, deathMs };
        return { ...settings, bounds };
      },
    });
  },
);

Then(
  /^within (\d+) s daemons ([\d, ]+) see daemon (\d) as "(\w+)"$/,
  async function (this: ScenarioWorld, limit: string, by: string, of: string, state: string) {
    const { id } = this.fleet.daemon(Number(of)).settings.instance;
    const end = performance.now() + Number(limit) * SECOND_MS;
    for (const number of by.split(", ")) {
      const daemon = this.fleet.daemon(Number(number));
      let seen = await fetchMemberState(daemon, id);
      while (seen !== state && performance.now() < end) {
        await new Promise((resolve) => setTimeout(resolve, POLL_MS));
        seen = await fetchMemberState(daemon, id);
      }
      assert.equal(seen, state, `daemon ${number}`);
    }
  },
);
