import { sharesDiffer } from "./version-places.js";
import {
  type Distribution,
  MAX_DISTRIBUTIONS,
  type VersionPlaces,
  type VersionPlan,
} from "./version-plan.js";

interface Input {
  /** Undefined if the service has none yet. */
  readonly plan: VersionPlan | undefined;
  /** Present era of the store. */
  readonly era: number;
  /** Present places by version. */
  readonly places: VersionPlaces;
  /** Time after which no stream is left that began before a change was known, in ms. */
  readonly lifetimeMs: number;
  /** Time for which this instance has known a distribution or an era by its name, in ms. */
  readonly knownForMs: (name: string) => number;
}

/** A change of the plan of a service that is due. */
export class PlanChange {
  private constructor(readonly plan: VersionPlan) {}

  /** Undefined if the plan may stay. */
  static create(input: Input): PlanChange | undefined {
    const { plan, era, places } = input;
    // Nothing is known of the upstreams, or none serves.
    if (places.length === 0) return undefined;
    if (plan === undefined) {
      return new PlanChange({ sequence: 1, era, distributions: [{ since: 1, places }] });
    }
    const sequence = plan.sequence + 1;
    const kept = withoutExpired(plan.distributions, input);
    const current = kept.at(-1);
    const differs = current !== undefined && sharesDiffer(current.places, places);
    const distributions =
      differs && kept.length < MAX_DISTRIBUTIONS ? [...kept, { since: sequence, places }] : kept;
    const next = { sequence, era: nextEra(plan, input), distributions };
    const same = next.era === plan.era && sameDistributions(distributions, plan.distributions);
    return same ? undefined : new PlanChange(next);
  }
}

/** Drops distributions under which no stream is left. */
function withoutExpired(
  distributions: readonly Distribution[],
  { lifetimeMs, knownForMs }: Input,
): Distribution[] {
  const knownMs = distributions.map(({ since }) => knownForMs(`distribution ${since}`));
  return distributions.filter((_, at) => (knownMs[at + 1] ?? 0) < lifetimeMs);
}

/**
 * After the store came back from a copy, records may be missing until the streams of before have
 * ended. There were none if one version alone has served for as long as a stream lasts, as an
 * instance knows that has run since then.
 */
function nextEra(plan: VersionPlan, { era, lifetimeMs, knownForMs }: Input): number {
  const settledMs = knownForMs(`distribution ${latest(plan)} in era ${plan.era}`);
  if (era === plan.era) return era;
  const versions = new Set(
    plan.distributions.flatMap(({ places }) => places.map(([version]) => version)),
  );
  const lossless = versions.size === 1 && settledMs >= lifetimeMs;
  return lossless || knownForMs(`era ${era}`) >= lifetimeMs ? era : plan.era;
}

function latest({ distributions }: VersionPlan): number {
  return distributions.at(-1)?.since ?? 0;
}

function sameDistributions(a: readonly Distribution[], b: readonly Distribution[]): boolean {
  return a.length === b.length && a.every(({ since }, at) => since === b[at]?.since);
}
