import { type Formula, atMost, every, implies, is, not } from "../logic.js";
import type { Property, State } from "../specification.js";
import {
  ChangeRow,
  Phase,
  PROPOSALS,
  INSTANCES,
  type Proposal,
  type Instance,
  type Variable,
} from "./state.js";

/** What must hold in every reachable state. */
export function properties(): Property<Variable>[] {
  const eachProposal =
    (make: (s: State<Variable>, i: Proposal) => Formula) => (s: State<Variable>) =>
      every(...PROPOSALS.map((i) => make(s, i)));
  const eachInstance =
    (make: (s: State<Variable>, n: Instance) => Formula) => (s: State<Variable>) =>
      every(...INSTANCES.map((n) => make(s, n)));
  const pairs = PROPOSALS.flatMap((i) =>
    PROPOSALS.filter((j) => j > i).map((j) => [i, j] as const),
  );
  return [
    {
      name: "an operator told accepted has an accepted change",
      holds: eachProposal((s, i) =>
        implies(is(s[`phase${i}`], Phase.ToldAccepted), is(s[`row${i}`], ChangeRow.Accepted)),
      ),
    },
    {
      name: "a change told not accepted is never accepted",
      holds: eachProposal((s, i) =>
        implies(
          is(s[`phase${i}`], Phase.ToldNotAccepted),
          not(is(s[`row${i}`], ChangeRow.Accepted)),
        ),
      ),
    },
    {
      name: "no two proposals win the same version",
      holds: (s) =>
        every(
          ...pairs.map(([i, j]) =>
            implies(
              every(is(s[`row${i}`], ChangeRow.Accepted), is(s[`row${j}`], ChangeRow.Accepted)),
              not(is(s[`base${i}`], s[`base${j}`])),
            ),
          ),
        ),
    },
    {
      name: "an instance never goes back to a lower version",
      holds: eachInstance((s, n) => atMost(s[`highest${n}`], s[`view${n}`])),
    },
    {
      name: "an instance holds what was accepted",
      holds: eachInstance((s, n) => every(atMost(s[`view${n}`], s.head), is(s[`corrupt${n}`], 0))),
    },
  ];
}
