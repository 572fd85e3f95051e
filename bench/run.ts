import { maxMin } from "../src/admission/max-min.js";
import { ranksInOrder } from "../src/configuration/rank.js";
import { RandomSource } from "../src/random/random-source.js";
import { ManualTimers } from "../src/time/manual-timers.js";
import { MEAN_TOKENS, arrivals } from "./arrivals.js";
import { type Deployment, configurationOf, services, teams } from "./deployment.js";
import { BenchFleet } from "./fleet.js";
import { createInstances } from "./instance.js";
import { oracleWork, requestCapacity } from "./oracle.js";
import type { Policy } from "./policy.js";
import type { Scenario } from "./scenario.js";
import { serveRequest } from "./served-request.js";
import { Tally } from "./tally.js";

const INSTANCES = 8;
const WARM_UP_MS = 2_000;
const END_MS = 10_000;
const DRAIN_MS = 9_000;
/** Faults strike before the measured time, which covers detection and recovery. */
const FAULT_MS = 2_500;

/** Figures of one run by name; shares are in [0, 1]. */
export type Figures = Readonly<Record<string, number>>;

/** Runs one scenario with one seed. */
export async function run(
  deployment: Deployment,
  scenario: Scenario,
  policy: Policy,
  seed: number,
): Promise<Figures> {
  const timers = ManualTimers.create();
  const configuration = configurationOf(deployment);
  const fleet = BenchFleet.create(
    configuration,
    timers,
    RandomSource.create(seed),
    scenario.reportMs,
  );
  const instances = createInstances(policy, INSTANCES, configuration, timers, fleet, seed * 100);
  const tally = Tally.create();
  let refusedAfterStart = 0;
  const fullSlots = fleet.liveSlots("advice");
  const load = arrivals(
    scenario,
    requestCapacity(fullSlots),
    INSTANCES,
    END_MS,
    RandomSource.create(seed + 1),
  );
  for (const [at, arrival] of load.entries()) {
    timers.after(arrival.at, () => {
      const instance = instances[arrival.instance];
      if (instance === undefined) return;
      void serveRequest(arrival, `r${at}`, instance, configuration, fleet, timers).then(
        (ending) => {
          if (ending === "refused" && fleet.started.has(`r${at}`)) refusedAfterStart += 1;
          if (arrival.at >= WARM_UP_MS) tally.add(arrival, ending);
        },
      );
    });
  }
  timers.after(FAULT_MS, () => {
    fleet.inject(scenario.fault);
  });
  await timers.advance(END_MS + DRAIN_MS);

  const floors = new Map(ranksInOrder.map((rank) => [rank, configuration.floor(rank)]));
  const seconds = (END_MS - WARM_UP_MS) / 1_000;
  const capacity = requestCapacity(fleet.liveSlots("advice")) * seconds * MEAN_TOKENS;
  const offered = new Map(ranksInOrder.map((rank) => [rank, tally.of(rank).offeredWork]));
  const oracle = oracleWork(offered, floors, capacity);
  const first = instances.reduce((sum, { attempts }) => sum + attempts.first, 0);
  const extra = instances.reduce((sum, { attempts }) => sum + attempts.extra, 0);
  return {
    ...figures(tally, oracle, capacity, fleet),
    "extra attempts": extra / Math.max(1, first),
    "not-run that ran": refusedAfterStart,
  };
}

function figures(
  tally: Tally,
  oracle: ReadonlyMap<string, number>,
  capacity: number,
  fleet: BenchFleet,
): Figures {
  const useful = ranksInOrder.reduce((sum, rank) => sum + tally.of(rank).usefulWork, 0);
  const ideal = [...oracle.values()].reduce((sum, work) => sum + work, 0);
  const result: Record<string, number> = { goodput: useful / Math.max(1, ideal) };
  for (const rank of ranksInOrder) {
    const count = tally.of(rank);
    const oracleShare = (oracle.get(rank) ?? 0) / Math.max(1, count.offeredWork);
    result[`${rank} attainment`] = count.inTime / Math.max(1, count.arrived);
    result[`${rank} against oracle`] =
      count.usefulWork / Math.max(1, count.offeredWork) / Math.max(1e-9, oracleShare);
    result[`${rank} served share`] = count.usefulWork / Math.max(1, useful);
    result[`${rank} share of capacity`] = count.usefulWork / Math.max(1, capacity);
    result[`${rank} offered of capacity`] = count.offeredWork / Math.max(1, capacity);
    result[`${rank} refused`] = count.refused;
    result[`${rank} late`] = count.late;
    result[`${rank} failed`] = count.failed;
  }
  const smallest = teams[teams.length - 1] ?? teams[0];
  const fair = maxMin(tally.teamOffered, capacity).get(smallest) ?? 0;
  result["smallest team"] = (tally.teamUseful.get(smallest) ?? 0) / Math.max(1, fair);
  for (const name of Object.keys(services)) {
    result[`${name} ms per request`] = fleet.busyMs(name) / Math.max(1, tally.requests);
  }
  return result;
}
