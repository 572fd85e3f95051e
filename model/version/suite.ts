import { is } from "../logic.js";
import type { BrokenVariant, ModelSuite, Specification } from "../specification.js";
import { variantsOf } from "../variants.js";
import { lemmas } from "./lemmas.js";
import { ALL_RULES, type Rules, type Variable, initialState } from "./state.js";
import { steps } from "./steps.js";

const ONE_VERSION = "no stream holds events of two versions";

function specification(name: string, rules: Rules): Specification<Variable> {
  return {
    name,
    initial: initialState(),
    steps: steps(rules),
    properties: [{ name: ONE_VERSION, holds: (s) => is(s.joined, 0) }],
    lemmas: lemmas(),
  };
}

function broken(): BrokenVariant<Variable>[] {
  const variant = variantsOf(specification, ALL_RULES);
  return [
    variant("versions: events before their record", { recordFirst: false }, ONE_VERSION),
    variant("versions: memory of instances and plan only", { readRecord: false }, ONE_VERSION),
    variant("versions: by plan without the store", { refuseInDoubt: false }, ONE_VERSION),
    variant("versions: the version that serves now", { ignoreServing: false }, ONE_VERSION),
  ];
}

/**
 * The software version of one stream: it begins at the planned version or another one, its record
 * may reach the store late, all instances may end, and two instances resume it.
 */
export const versionSuite: ModelSuite<Variable> = {
  specification: specification("versions", ALL_RULES),
  broken: broken(),
  depth: 10,
};
