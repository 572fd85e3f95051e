import { Bench } from "tinybench";
import { DemandMeter } from "../src/admission/demand-meter.js";
import { PipelineAdmission } from "../src/admission/pipeline-admission.js";
import { ServicePools } from "../src/admission/service-pools.js";
import { SingleInstanceDemand } from "../standin/single-instance-demand.js";
import { ConfigurationView } from "../src/configuration/configuration-view.js";
import { Rank } from "../src/configuration/rank.js";
import { RandomSource } from "../src/random/random-source.js";
import { ManualTimers } from "../src/time/manual-timers.js";
import type { Work } from "../src/admission/work.js";
import type { UpstreamClients } from "../src/upstream/upstream-clients.js";
import { configurationOf, deployments } from "./deployment.js";
import { silentLog } from "./instance.js";

const RUN_MS = 300;
const ROUTE_COST_MS = 300;
const DEADLINE_MS = 3_000;

/** Prints the time of decisions at four sizes; the figures vary by run. */
export async function measureDecisionCost(): Promise<void> {
  process.stdout.write("Decision cost (timing; varies between runs)\n");
  await measure("today", 8, 5);
  await measure("100 replicas and 80 teams", 100, 80);
  await measure("400 replicas and 300 teams", 400, 300);
  await measure("1,400 replicas and 1,200 teams", 1_400, 1_200);
}

async function measure(label: string, engines: number, teams: number): Promise<void> {
  const [base] = deployments;
  if (base === undefined) return;
  const configuration = configurationOf({ ...base, engines });
  const configurationView = ConfigurationView.create();
  configurationView.adopt(configuration);
  const timers = ManualTimers.create();
  const parts = {
    configurationView,
    decisionLog: silentLog,
    timers,
    random: RandomSource.create(1),
    settings: { instance: { id: "i0", dataCentre: "dc-0", cores: 1 }, cores: 1 },
    clients: { of: () => ({}), close: () => Promise.resolve() } as unknown as UpstreamClients,
    demandSource: DemandMeter.create({ timers }),
    demandReports: SingleInstanceDemand.create(),
  };
  const pools = ServicePools.create(parts);
  const admission = PipelineAdmission.create({ ...parts, pools });
  const pipeline = configuration.pipeline("advice");
  const workClass = configuration.workClass("standard");
  if (pipeline === undefined || workClass === undefined) return;
  let at = 0;
  const admit = (): void => {
    at += 1;
    try {
      admission.admit({
        id: `r${at}`,
        team: `team-${at % teams}`,
        pipeline,
        workClass,
        input: { text: "", maxTokens: 64 },
        arrival: 0,
        deadline: DEADLINE_MS,
        contentDigest: "",
        idempotencyKey: undefined,
      });
    } catch {
      // A refusal is a decision too.
    }
  };
  const signal = new AbortController().signal;
  const pool = pools.of("advice");
  const route = async (): Promise<void> => {
    at += 1;
    const slot = await pool.acquire(work(`q${at}`, `team-${at % teams}`, at), signal);
    slot.release({ kind: "succeeded", durationMs: ROUTE_COST_MS, firstByteMs: ROUTE_COST_MS });
  };
  const bench = new Bench({ time: RUN_MS, warmupTime: RUN_MS / 3 });
  // Routing first: admitted requests that never run would fill the backlog.
  bench.add(`route, ${label}`, route).add(`admit, ${label}`, admit);
  await bench.run();
  for (const task of bench.tasks) {
    const micros = "latency" in task.result ? task.result.latency.mean * 1_000 : undefined;
    const text = micros === undefined ? "not measured" : `${micros.toFixed(1)} microseconds`;
    process.stdout.write(`  ${task.name}: ${text}
`);
  }
}

function work(request: string, team: string, at: number): Work {
  return {
    request,
    team,
    className: "standard",
    rank: Rank.Standard,
    stage: "generate",
    costMs: ROUTE_COST_MS,
    deadline: DEADLINE_MS,
    prompt: `prefix-${at % 20}`,
    contentDigest: "",
    excluded: new Set(),
  };
}
