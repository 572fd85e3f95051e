import type { Logic } from "./logic.js";
import type { Property, Specification } from "./specification.js";
import { type Trace, Unrolling } from "./unrolling.js";

/** Searches runs of up to `depth` steps for a violation; returns the shortest one. */
export async function shortestViolation<Variable extends string>(
  logic: Logic,
  specification: Specification<Variable>,
  property: Property<Variable>,
  depth: number,
): Promise<Trace | undefined> {
  const unrolling = Unrolling.create(logic, specification);
  unrolling.startAtInitial();
  for (let length = 0; ; length += 1) {
    const trace = await unrolling.violation(property);
    if (trace !== undefined || length === depth) return trace;
    unrolling.extend();
  }
}

/**
 * Proves properties and lemmas together by induction: they hold at first, and one step keeps them.
 * Returns the name of a property that the induction does not show, or undefined if all are proved.
 */
export async function unprovedByInduction<Variable extends string>(
  logic: Logic,
  specification: Specification<Variable>,
): Promise<string | undefined> {
  const claims = [...specification.properties, ...specification.lemmas];
  const base = Unrolling.create(logic, specification);
  base.startAtInitial();
  const step = Unrolling.create(logic, specification);
  step.require(claims);
  step.extend();
  for (const claim of claims) {
    if ((await base.violation(claim)) !== undefined) return `${claim.name} (initial state)`;
    const trace = await step.violation(claim);
    if (trace !== undefined) return `${claim.name} (after "${trace.join(", ")}")`;
  }
  return undefined;
}
