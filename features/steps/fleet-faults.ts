import { setTimeout as delay } from "node:timers/promises";
import { When } from "@cucumber/cucumber";
import type { Child } from "../../standin/child.js";
import { type FleetDaemon, OPERATOR_CREDENTIAL } from "../../standin/fleet.js";
import type { ScenarioWorld } from "../support/world.js";

const POLL_MS = 50;

async function applyFault(child: Child, fault: string): Promise<void> {
  if (fault === "killed") await child.end("SIGKILL");
  else child.signal(fault === "frozen" ? "SIGSTOP" : "SIGCONT");
}

/** Number of instances from which a daemon has received a heartbeat. */
async function countReportingMembers({ settings }: FleetDaemon): Promise<number> {
  const { host, port } = settings.operators;
  const headers = { authorization: `Bearer ${OPERATOR_CREDENTIAL}` };
  const response = await fetch(`http://${host}:${port}/v1/status`, { headers });
  const { members } = (await response.json()) as { members: { configurationVersion?: number }[] };
  return members.filter((member) => member.configurationVersion !== undefined).length;
}

When("the daemons know each other", async function (this: ScenarioWorld) {
  const { daemons } = this.fleet;
  const others = daemons.length - 1;
  while (
    !(await Promise.all(daemons.map(countReportingMembers))).every((count) => count === others)
  ) {
    await delay(POLL_MS);
  }
});
When("the fleet runs for {int} ms", (ms: number) => delay(ms));
When(
  /^the process of (.+) has (.+) set to (\d+)$/,
  async function (this: ScenarioWorld, id: string, fault: string, value: string) {
    const url = id === "the table" ? this.fleet.tableUrl : this.fleet.upstreams.get(id)?.url;
    await this.fleet.control(url ?? "", { [fault]: Number(value) });
  },
);
When(
  /^daemon (\d+) is (killed|frozen|woken)$/,
  async function (this: ScenarioWorld, number: string, fault: string) {
    await applyFault(this.fleet.daemon(Number(number)).child, fault);
  },
);
When("daemon {int} is started again", async function (this: ScenarioWorld, number: number) {
  await this.fleet.startDaemon(this.fleet.daemon(number).settings);
});
When(
  /^the upstream that generates is (killed|frozen)$/,
  async function (this: ScenarioWorld, fault: string) {
    for (const [id, { url, child }] of this.fleet.upstreams) {
      const { running } = (await (await fetch(`${url}/work`)).json()) as { running: number };
      if (id.startsWith("advice") && running > 0) return applyFault(child, fault);
    }
    throw new Error("no upstream generates");
  },
);
