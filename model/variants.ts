import type { BrokenVariant, Specification } from "./specification.js";

/** Makes a specification in which some rules are left out. */
type Variants<Variable extends string, Rules> = (
  name: string,
  change: Partial<Rules>,
  violated: string,
) => BrokenVariant<Variable>;

/** Builds broken variants of a specification that is made from all rules. */
export function variantsOf<Variable extends string, Rules>(
  specification: (name: string, rules: Rules) => Specification<Variable>,
  rules: Rules,
): Variants<Variable, Rules> {
  return (name, change, violated) => ({
    specification: specification(name, { ...rules, ...change }),
    violated,
  });
}
