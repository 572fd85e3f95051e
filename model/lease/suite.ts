import type { BrokenVariant, ModelSuite, Specification } from "../specification.js";
import { PROCESSES, type Variable, type Rules, ALL_RULES, initialState } from "./state.js";
import { lemmas } from "./lemmas.js";
import { properties } from "./properties.js";
import { variantsOf } from "../variants.js";
import { processSteps, tick } from "./steps.js";

function specification(name: string, rules: Rules): Specification<Variable> {
  return {
    name,
    initial: initialState(),
    steps: [...PROCESSES.flatMap((i) => processSteps(rules, i)), tick()],
    properties: properties(),
    lemmas: lemmas(),
  };
}

function broken(): BrokenVariant<Variable>[] {
  const violated = "no order takes effect after an order with a higher number";
  const variant = variantsOf(specification, ALL_RULES);
  return [
    variant("lease: no wait after takeover", { waitAfterTakeover: false }, violated),
    variant(
      "lease: takeover before the lease was observed to its end",
      {
        observeWholeLease: false,
      },
      violated,
    ),
    variant(
      "lease: remaining time not checked before an order",
      { checkRemaining: false },
      violated,
    ),
  ];
}

/**
 * A lease with fencing numbers and an engine that ignores the numbers. Time passes in ticks at the
 * same rate for all processes; a process may pause for any number of ticks between two steps. An
 * order is delivered at most ORDER_TICKS after it was sent, or lost.
 */
export const leaseSuite: ModelSuite<Variable> = {
  specification: specification("lease", ALL_RULES),
  broken: broken(),
  depth: 18,
};
