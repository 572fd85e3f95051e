import type { BrokenVariant, ModelSuite, Specification } from "../specification.js";
import {
  PROPOSALS,
  INSTANCES,
  type Variable,
  type Rules,
  ALL_RULES,
  initialState,
} from "./state.js";
import { lemmas } from "./lemmas.js";
import { properties } from "./properties.js";
import { variantsOf } from "../variants.js";
import { instanceSteps, proposalSteps } from "./steps.js";

function specification(name: string, rules: Rules): Specification<Variable> {
  return {
    name,
    initial: initialState(),
    steps: [
      ...PROPOSALS.flatMap((i) => proposalSteps(rules, i)),
      ...INSTANCES.flatMap((n) => instanceSteps(rules, n)),
    ],
    properties: properties(),
    lemmas: lemmas(),
  };
}

function broken(): BrokenVariant<Variable>[] {
  const variant = variantsOf(specification, ALL_RULES);
  return [
    variant(
      "configuration: base version not checked",
      { checkBase: false },
      "no two proposals win the same version",
    ),
    variant(
      "configuration: told not accepted without a tombstone",
      { tombstone: false },
      "a change told not accepted is never accepted",
    ),
    variant(
      "configuration: lower version adopted",
      { adoptHigherOnly: false },
      "an instance never goes back to a lower version",
    ),
    variant(
      "configuration: change applied over a gap",
      { changesInSequence: false },
      "an instance holds what was accepted",
    ),
  ];
}

/**
 * Accepting and adopting configuration versions: three proposals race, their transactions may land
 * late or lose their answer, and two instances receive changes and snapshots late and out of order.
 */
export const configurationSuite: ModelSuite<Variable> = {
  specification: specification("configuration", ALL_RULES),
  broken: broken(),
  depth: 10,
};
