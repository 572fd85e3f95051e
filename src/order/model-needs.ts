import type { DemandDigest } from "../admission/demand-digest.js";
import type { Configuration } from "../configuration/configuration.js";
import { type Rank, ranksInOrder } from "../configuration/rank.js";

/**
 * Work by model in ms of service time per second. The entries are the work that the class targets
 * of each rank ask for, the most urgent rank first, and last all other work.
 */
export type ModelNeeds = ReadonlyMap<string, readonly number[]>;

/** Adds up the demand of all instances. */
export function modelNeeds(
  configuration: Configuration,
  digests: readonly DemandDigest[],
): ModelNeeds {
  const shares = ranksInOrder.map((rank) => targetShare(configuration, rank));
  const needs = new Map<string, number[]>();
  for (const { name, model } of configuration.document.services) {
    if (model === undefined) continue;
    const total = sum(digests.map(({ services }) => services[name] ?? 0));
    const required = ranksInOrder.map(
      (rank, at) => ofRank(digests, name, rank) * (shares[at] ?? 0),
    );
    const rest = Math.max(0, total - sum(required));
    const before = needs.get(model) ?? [];
    needs.set(
      model,
      [...required, rest].map((need, tier) => need + (before[tier] ?? 0)),
    );
  }
  return needs;
}

function targetShare(configuration: Configuration, rank: Rank): number {
  const classes = configuration.document.classes.filter((one) => one.rank === rank);
  return Math.max(0, ...classes.map(({ target }) => target.share));
}

/** Teams below the largest are missing from digests; their work counts as other work. */
function ofRank(digests: readonly DemandDigest[], service: string, rank: Rank): number {
  const prefix = `${service}|${rank}|`;
  const entries = digests.flatMap(({ teams }) => Object.entries(teams));
  return sum(entries.filter(([key]) => key.startsWith(prefix)).map(([, work]) => work));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
