import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { RandomSource } from "../src/random/random-source.js";
import { SystemTimers } from "../src/time/system-timers.js";
import {
  drawBreaks,
  drawEndless,
  drawIsolations,
  drawLimits,
  drawPlan,
  drawRestores,
} from "./fault-plan.js";
import { checkPromises } from "./promise-check.js";
import { SoakCaller } from "./soak-caller.js";
import { SoakDriver } from "./soak-driver.js";
import { LinkSide } from "./soak-fault.js";
import { SoakFleet } from "./soak-fleet.js";
import type { SoakRequest } from "./soak-request.js";

/** Time after the last disturbance within which service is back, of the users' deployments. */
const RECOVERY_MS = 12_000;
/** Requests after that time, and the least part of them that must be served. */
const CALM_REQUESTS = 40;
const LEAST_SERVED = 0.25;
const OK = 200;
const MS_PER_SECOND = 1_000;
/** Spreads small seeds over all bits; the first draws of neighbouring small seeds are alike. */
const SEED_FACTOR = 0x9e3779b1;
const LIMIT_SEED_FACTOR = 0x85ebca6b;
const RESTORE_SEED_FACTOR = 0x27d4eb2f;
const ISOLATION_SEED_FACTOR = 0x165667b1;
const BREAK_SEED_FACTOR = 0x1b873593;
const ENDLESS_SEED_FACTOR = 0x2545f491;

/** Sizes of one run. */
export interface SoakSize {
  /** Time of the disturbances in s. */
  readonly seconds: number;
  readonly daemons: number;
  readonly upstreams: number;
  readonly callers: number;
}

/** What one run found. */
export interface SoakResult {
  readonly findings: readonly string[];
  /** One line for people. */
  readonly summary: string;
}

/** Plays one seed; logs and findings are written to the directory. */
export async function playSeed(
  seed: number,
  size: SoakSize,
  directory: string,
): Promise<SoakResult> {
  const timers = SystemTimers.create();
  await mkdir(directory, { recursive: true });
  const random = RandomSource.create(Math.imul(seed, SEED_FACTOR));
  const planSize = { ...size, lengthMs: size.seconds * MS_PER_SECOND };
  // These have draws of their own, so that known seeds keep their other disturbances.
  const restoreRandom = RandomSource.create(Math.imul(seed, RESTORE_SEED_FACTOR));
  const limitRandom = RandomSource.create(Math.imul(seed, LIMIT_SEED_FACTOR));
  const isolationRandom = RandomSource.create(Math.imul(seed, ISOLATION_SEED_FACTOR));
  const endlessRandom = RandomSource.create(Math.imul(seed, ENDLESS_SEED_FACTOR));
  const breakRandom = RandomSource.create(Math.imul(seed, BREAK_SEED_FACTOR));
  const plan = [
    ...drawPlan(random, planSize),
    ...drawLimits(limitRandom, planSize),
    ...drawRestores(restoreRandom, planSize),
    ...drawIsolations(isolationRandom, planSize),
    ...drawBreaks(breakRandom, planSize),
    ...drawEndless(endlessRandom, planSize),
  ];
  const fleet = await SoakFleet.create(timers, directory, size);
  const requests: SoakRequest[] = [];
  const ports = fleet.instances.map((_, at) => fleet.link(LinkSide.Callers, at).port);
  const callerOf = (name: string): SoakCaller =>
    SoakCaller.create({
      timers,
      random: RandomSource.create(random.below(2 ** 30)),
      name: `s${seed}-${name}`,
      ports,
      key: () => fleet.key,
      ended: (request) => requests.push(request),
    });
  try {
    const end = new AbortController();
    const callers = Array.from({ length: size.callers }, (_, at) => callerOf(`c${at}`));
    const runs = callers.map((caller) => caller.run(end.signal));
    const driver = SoakDriver.create(timers, fleet);
    await driver.run(plan);
    await fleet.heal();
    await timers.sleep(RECOVERY_MS);
    const served = await servedOf(callerOf("calm"));
    end.abort();
    await Promise.all(runs);
    const findings = [...driver.findings, ...checkPromises(fleet, requests), ...fleet.ownEnds];
    if (served < LEAST_SERVED * CALM_REQUESTS) {
      findings.push(`${served} of ${CALM_REQUESTS} served after the disturbances`);
    }
    if (findings.length > 0) {
      const report = JSON.stringify({ seed, findings, plan, requests }, undefined, 1);
      await writeFile(join(directory, "findings.json"), report);
    }
    const answered = requests.filter(({ status }) => status === OK).length;
    const summary =
      `seed ${seed}: ${plan.length} disturbances, ${requests.length} requests, ` +
      `${answered} answered ${OK}, ${served} of ${CALM_REQUESTS} served at the end, ` +
      `${findings.length} findings`;
    return { findings, summary };
  } finally {
    await fleet.stop();
  }
}

/** Requests that are served without disturbances, of `CALM_REQUESTS`. */
async function servedOf(caller: SoakCaller): Promise<number> {
  let served = 0;
  for (let at = 0; at < CALM_REQUESTS; at += 1) {
    const { status, whole } = await caller.ask();
    if (status === OK && whole) served += 1;
  }
  return served;
}
