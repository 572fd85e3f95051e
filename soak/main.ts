#!/usr/bin/env node
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { Command, InvalidArgumentError, Option } from "commander";
import { RandomSource } from "../src/random/random-source.js";
import { SystemTimers } from "../src/time/system-timers.js";
import { drawPlan } from "./fault-plan.js";
import { knownSeeds, shortRun } from "./known-seed.js";
import { checkPromises } from "./promise-check.js";
import { SoakCaller } from "./soak-caller.js";
import { SoakDriver } from "./soak-driver.js";
import { SoakFleet } from "./soak-fleet.js";
import type { SoakRequest } from "./soak-request.js";
import { LinkSide } from "./soak-fault.js";

/** Time after the last disturbance within which service is back, of the users' deployments. */
const RECOVERY_MS = 12_000;
/** Requests after that time, and the least part of them that must be served. */
const CALM_REQUESTS = 40;
const LEAST_SERVED = 0.25;
const OK = 200;
const MS_PER_SECOND = 1_000;
/** Known seeds played at once; each has three daemons. */
const KNOWN_AT_ONCE = 2;
/** Spreads small seeds over all bits; the first draws of neighbouring small seeds are alike. */
const SEED_FACTOR = 0x9e3779b1;

interface Options {
  readonly seed: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly daemons: number;
  readonly upstreams: number;
  readonly callers: number;
  readonly out: string;
  readonly known: "all" | "short" | undefined;
}

function positive(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value <= 0) throw new InvalidArgumentError("not a whole number");
  return value;
}

function seedsOf({ known, seed, seeds }: Options): number[] {
  switch (known) {
    case "all":
      return knownSeeds.map((each) => each.seed);
    case "short":
      return [...shortRun];
    case undefined:
      return Array.from({ length: seeds }, (_, at) => seed + at);
  }
}

/** Plays one seed and returns the broken promises. */
async function soak(seed: number, options: Options): Promise<string[]> {
  const timers = SystemTimers.create();
  const directory = join(options.out, `seed-${seed}`);
  await mkdir(directory, { recursive: true });
  const random = RandomSource.create(Math.imul(seed, SEED_FACTOR));
  const plan = drawPlan(random, { ...options, lengthMs: options.seconds * MS_PER_SECOND });
  const fleet = await SoakFleet.create(timers, directory, options);
  const requests: SoakRequest[] = [];
  const ended = (request: SoakRequest): void => {
    requests.push(request);
  };
  const ports = fleet.instances.map((_, at) => fleet.link(LinkSide.Callers, at).port);
  const callerOf = (name: string): SoakCaller => {
    const own = RandomSource.create(random.below(2 ** 30));
    return SoakCaller.create({ timers, random: own, name, ports, key: () => fleet.key, ended });
  };
  try {
    const end = new AbortController();
    const callers = Array.from({ length: options.callers }, (_, at) => callerOf(`s${seed}-c${at}`));
    const runs = callers.map((caller) => caller.run(end.signal));
    const driver = SoakDriver.create(timers, fleet);
    await driver.run(plan);
    await fleet.heal();
    await timers.sleep(RECOVERY_MS);
    const calm = callerOf(`s${seed}-calm`);
    const answers: SoakRequest[] = [];
    for (let at = 0; at < CALM_REQUESTS; at += 1) answers.push(await calm.ask());
    end.abort();
    await Promise.all(runs);
    const findings = [...driver.findings, ...checkPromises(fleet, requests)];
    const served = answers.filter(({ status, whole }) => status === OK && whole).length;
    if (served < LEAST_SERVED * CALM_REQUESTS) {
      findings.push(`RECOVER: ${served} of ${CALM_REQUESTS} served after the disturbances`);
    }
    fleet.instances.forEach(({ daemon }, at) => {
      for (const each of daemon.ownEnds) findings.push(`EXIT: i${at} ended by itself: ${each}`);
    });
    const all = requests.filter(({ status }) => status === OK).length;
    process.stdout.write(
      `seed ${seed}: ${plan.length} disturbances, ${requests.length} requests, ${all} answered 200, ` +
        `${served} of ${CALM_REQUESTS} served at the end, ${findings.length} findings\n`,
    );
    if (findings.length > 0) {
      const report = JSON.stringify({ seed, findings, plan, requests }, undefined, 1);
      await writeFile(join(directory, "findings.json"), report);
    }
    return findings;
  } finally {
    await fleet.stop();
  }
}

const program = new Command("soak")
  .description("Runs daemons as processes under random disturbances and checks the promises")
  .option("--seed <number>", "first seed", positive, 1)
  .option("--seeds <count>", "seeds to play, one after the other", positive, 1)
  .option("--seconds <s>", "time of the disturbances per seed", positive, 15)
  .option("--daemons <count>", "daemons", positive, 3)
  .option("--upstreams <count>", "upstreams", positive, 4)
  .option("--callers <count>", "callers", positive, 12)
  .option("--out <directory>", "directory for logs and findings", "reports/soak")
  .addOption(
    new Option("--known <which>", "seeds that found a fault before").choices(["all", "short"]),
  )
  .action(async (options: Options) => {
    const jobs = options.known === undefined ? 1 : KNOWN_AT_ONCE;
    const left = seedsOf(options);
    let findings = 0;
    const play = async (): Promise<void> => {
      for (let seed = left.shift(); seed !== undefined; seed = left.shift()) {
        const found = await soak(seed, options);
        for (const finding of found) process.stdout.write(`seed ${seed}: ${finding}\n`);
        findings += found.length;
      }
    };
    await Promise.all(Array.from({ length: jobs }, play));
    if (findings > 0) process.exitCode = 1;
  });

await program.parseAsync();
