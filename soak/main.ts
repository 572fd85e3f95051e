#!/usr/bin/env node
import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { Command, InvalidArgumentError, Option } from "commander";
import { knownSeeds, shortRun } from "./known-seed.js";
import { type SoakSize, playSeed } from "./soak-run.js";

/** Known seeds played at once; each has three daemons. */
const KNOWN_AT_ONCE = 2;

interface Options extends SoakSize {
  readonly seed: number;
  readonly seeds: number;
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

/** Findings of known seeds that KNOWN-RED.txt lists; each entry ends with a part of the finding. */
const knownRed = (await readFile("KNOWN-RED.txt", "utf8"))
  .split("\n")
  .filter((line) => line.startsWith("soak: "));

function isKnownRed(seed: number, finding: string): boolean {
  const prefix = `soak: seed ${seed}: `;
  return knownRed.some(
    (entry) => entry.startsWith(prefix) && finding.includes(entry.slice(prefix.length).trim()),
  );
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
        const directory = join(options.out, `seed-${seed}`);
        const result = await playSeed(seed, options, directory);
        process.stdout.write(`${result.summary}\n`);
        for (const each of result.findings) {
          const known = options.known !== undefined && isKnownRed(seed, each);
          process.stdout.write(`${known ? "known red: " : ""}seed ${seed}: ${each}\n`);
          if (!known) findings += 1;
        }
      }
    };
    await Promise.all(Array.from({ length: jobs }, play));
    if (findings > 0) process.exitCode = 1;
  });

await program.parseAsync();
