import { z } from "zod";
import { rendezvousMembers } from "../order/rendezvous.js";

/** Most distributions of a plan, which bounds how often it changes within the life of a stream. */
export const MAX_DISTRIBUTIONS = 16;

const distributionSchema = z.object({
  /** Sequence of the plan in which it came into force. */
  since: z.number().int().positive(),
  /** Places of upstreams by software version. */
  places: z.array(z.tuple([z.string(), z.number().positive()])).min(1),
});

/** Schema of the row of a service that says which software version begins which stream. */
export const versionPlanSchema = z.object({
  /** Increases with each change. */
  sequence: z.number().int().positive(),
  /** Era of the store in which no record of a stream has been lost. */
  era: z.number().int().nonnegative(),
  /** Oldest first; the last one is in force, and streams of the others may still run. */
  distributions: z.array(distributionSchema).min(1),
});

export type VersionPlan = z.output<typeof versionPlanSchema>;
export type Distribution = VersionPlan["distributions"][number];
export type VersionPlaces = Distribution["places"];

/** The version that begins the stream of an attempt; the same at every instance. */
export function versionUnder({ places }: Distribution, attemptId: string): string {
  const placesOf = new Map(places);
  const versions = places.map(([version]) => version);
  const [chosen] = rendezvousMembers(attemptId, versions, 1, (each) => placesOf.get(each) ?? 0);
  return chosen ?? "";
}

/** The version that begins the stream of a new attempt. */
export function plannedVersion({ distributions }: VersionPlan, attemptId: string): string {
  const current = distributions.at(-1);
  return current === undefined ? "" : versionUnder(current, attemptId);
}

/**
 * The version that began the stream of an attempt without a record. An instance records a stream
 * unless all distributions that it knows agree on its version. The oldest distribution of the
 * present plan is one of those, as it is kept for longer than a stream lasts.
 */
export function unrecordedVersion(plan: VersionPlan | undefined, attemptId: string): string {
  const [oldest] = plan?.distributions ?? [];
  return oldest === undefined ? "" : versionUnder(oldest, attemptId);
}

/** Whether all distributions say that the stream of an attempt begins at a version. */
export function allAgree(plan: VersionPlan, attemptId: string, version: string): boolean {
  return plan.distributions.every((each) => versionUnder(each, attemptId) === version);
}

/** The version of all streams if a plan names one version only. */
export function onlyVersion(plan: VersionPlan | undefined): string | undefined {
  const places = plan?.distributions.flatMap((each) => each.places) ?? [];
  const [version, ...others] = new Set(places.map(([each]) => each));
  return others.length === 0 ? version : undefined;
}
