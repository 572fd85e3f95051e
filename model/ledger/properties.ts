import { every, implies, is, not } from "../logic.js";
import type { Property } from "../specification.js";
import { Told, RowState, ATTEMPTS, type Variable } from "./state.js";

/** What must hold in every reachable state. */
export function properties(): Property<Variable>[] {
  const pairs = ATTEMPTS.flatMap((i) => ATTEMPTS.filter((j) => j > i).map((j) => [i, j] as const));
  return [
    {
      name: "at most one attempt dispatches",
      holds: (s) =>
        every(...pairs.map(([i, j]) => not(every(is(s[`ran${i}`], 1), is(s[`ran${j}`], 1))))),
    },
    {
      name: "an attempt told not-run never dispatches",
      holds: (s) =>
        every(...ATTEMPTS.map((i) => implies(is(s[`told${i}`], Told.NotRun), is(s[`ran${i}`], 0)))),
    },
    {
      name: "a resolved attempt does not hold the row",
      holds: (s) =>
        every(
          ...ATTEMPTS.map((i) =>
            implies(is(s[`resolved${i}`], 1), not(is(s.row, RowState.Claimed + i))),
          ),
        ),
    },
  ];
}
