import { atMost, below, choose, every, implies, is, plus } from "../logic.js";
import type { Property } from "../specification.js";
import { ChangeRow, Phase, PROPOSALS, type Variable } from "./state.js";

/** Facts that make the properties inductive. */
export function lemmas(): Property<Variable>[] {
  return [
    {
      name: "each accepted change is below the head",
      holds: (s) =>
        every(
          atMost(s.head, PROPOSALS.length),
          ...PROPOSALS.map((i) =>
            every(
              atMost(s[`base${i}`], s.head),
              implies(is(s[`row${i}`], ChangeRow.Accepted), below(s[`base${i}`], s.head)),
              implies(
                is(s[`phase${i}`], Phase.ToldNotAccepted),
                is(s[`row${i}`], ChangeRow.Tombstone),
              ),
              implies(
                is(s[`phase${i}`], Phase.Idle),
                every(is(s[`row${i}`], ChangeRow.None), is(s[`inFlight${i}`], 0)),
              ),
            ),
          ),
        ),
    },
    {
      name: "the head counts the accepted changes",
      holds: (s) =>
        PROPOSALS.map((i) => choose(is(s[`row${i}`], ChangeRow.Accepted), 1, 0))
          .reduce((sum, one) => plus(sum, one))
          .eq(s.head),
    },
  ];
}
