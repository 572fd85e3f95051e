/** A seed that found a fault; it is played again by `--known`. */
interface KnownSeed {
  readonly seed: number;
  readonly cause: string;
}

/** All with 15 s of disturbances, 3 daemons, 4 upstreams and 12 callers. */
export const knownSeeds: readonly KnownSeed[] = [
  { seed: 115, cause: "SIGHUP came before the daemon had a handler for it and ended the process" },
  { seed: 111, cause: "SIGTERM came before the daemon had a handler for it; no clean exit" },
  { seed: 121, cause: "as 115" },
  { seed: 126, cause: "as 111 and 115" },
  { seed: 135, cause: "as 111" },
  { seed: 142, cause: "as 115" },
  { seed: 701, cause: "a resumption followed the plan of versions while the store was away" },
];

/** One seed for each cause, for a short run. */
export const shortRun: readonly number[] = [115, 111];
