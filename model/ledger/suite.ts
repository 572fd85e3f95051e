import type { BrokenVariant, ModelSuite, Specification } from "../specification.js";
import { ATTEMPTS, type Variable, type Rules, ALL_RULES, initialState } from "./state.js";
import { lemmas } from "./lemmas.js";
import { properties } from "./properties.js";
import { variantsOf } from "../variants.js";
import { attemptSteps } from "./steps.js";

function specification(name: string, rules: Rules): Specification<Variable> {
  return {
    name,
    initial: initialState(),
    steps: ATTEMPTS.flatMap((i) => attemptSteps(rules, i)),
    properties: properties(),
    lemmas: lemmas(),
  };
}

function broken(): BrokenVariant<Variable>[] {
  const variant = variantsOf(specification, ALL_RULES);
  return [
    variant(
      "ledger: dispatch before confirmation",
      { confirmBeforeDispatch: false },
      "at most one attempt dispatches",
    ),
    variant(
      "ledger: claim taken over when its holder is silent",
      { keepClaims: false },
      "at most one attempt dispatches",
    ),
    variant(
      "ledger: abandoning does not block dispatch",
      { abandonBlocksDispatch: false },
      "an attempt told not-run never dispatches",
    ),
    variant(
      "ledger: no tombstone",
      { tombstone: false },
      "a resolved attempt does not hold the row",
    ),
  ];
}

/**
 * Run-once ledger for one idempotency key and three attempts, each with its own holder.
 * A claim lands only on the row version that its attempt read: `fresh` says that the row was not
 * written since. A claim may land late, its answer may be lost, and a holder may crash or pause.
 */
export const ledgerSuite: ModelSuite<Variable> = {
  specification: specification("ledger", ALL_RULES),
  broken: broken(),
  depth: 12,
};
