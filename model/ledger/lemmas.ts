import { type Formula, type Term, atMost, every, implies, is, not, some } from "../logic.js";
import type { Property, State } from "../specification.js";
import { Told, Phase, RowState, ATTEMPTS, type Attempt, type Variable } from "./state.js";

/** Facts that make the properties inductive. */
export function lemmas(): Property<Variable>[] {
  const each =
    (make: (state: State<Variable>, i: Attempt) => Formula) => (state: State<Variable>) =>
      every(...ATTEMPTS.map((i) => make(state, i)));
  const flag = (term: Term): Formula => some(is(term, 0), is(term, 1));
  return [
    {
      name: "values stay in range",
      holds: (state) =>
        every(
          some(
            is(state.row, RowState.Absent),
            is(state.row, RowState.Released),
            ...ATTEMPTS.flatMap((i) => [
              is(state.row, RowState.Claimed + i),
              is(state.row, RowState.Finished + i),
            ]),
          ),
          each((s, i) =>
            every(
              atMost(s[`phase${i}`], Phase.Crashed),
              flag(s[`fresh${i}`]),
              flag(s[`inFlight${i}`]),
              flag(s[`landed${i}`]),
              flag(s[`ran${i}`]),
              flag(s[`told${i}`]),
              flag(s[`resolved${i}`]),
            ),
          )(state),
        ),
    },
    {
      name: "an unread attempt has no effect",
      holds: each((s, i) =>
        implies(
          some(is(s[`phase${i}`], Phase.Idle), is(s[`phase${i}`], Phase.Read)),
          every(
            is(s[`inFlight${i}`], 0),
            is(s[`landed${i}`], 0),
            is(s[`ran${i}`], 0),
            is(s[`told${i}`], Told.Nothing),
            is(s[`resolved${i}`], 0),
            not(is(s.row, RowState.Claimed + i)),
          ),
        ),
      ),
    },
    {
      name: "a claim lands once",
      holds: each((s, i) =>
        every(
          implies(is(s[`landed${i}`], 1), every(is(s[`inFlight${i}`], 0), is(s[`fresh${i}`], 0))),
          implies(is(s.row, RowState.Claimed + i), is(s[`landed${i}`], 1)),
        ),
      ),
    },
    {
      name: "a landed claim of a live attempt holds the row",
      holds: each((s, i) =>
        implies(
          every(
            is(s[`landed${i}`], 1),
            some(is(s[`phase${i}`], Phase.Sent), is(s[`phase${i}`], Phase.Confirmed)),
          ),
          is(s.row, RowState.Claimed + i),
        ),
      ),
    },
    {
      name: "a dispatched attempt holds the row or has finished it",
      holds: each((s, i) =>
        every(
          implies(is(s[`phase${i}`], Phase.Confirmed), is(s[`landed${i}`], 1)),
          implies(is(s[`phase${i}`], Phase.Dispatched), is(s[`ran${i}`], 1)),
          implies(
            is(s[`ran${i}`], 1),
            some(is(s.row, RowState.Claimed + i), is(s.row, RowState.Finished + i)),
          ),
          implies(
            is(s[`ran${i}`], 1),
            some(is(s[`phase${i}`], Phase.Dispatched), is(s[`phase${i}`], Phase.Crashed)),
          ),
        ),
      ),
    },
    {
      name: "only an abandoned claim can be replaced",
      holds: (s) =>
        every(
          ...ATTEMPTS.flatMap((i) =>
            ATTEMPTS.filter((j) => j !== i).map((j) =>
              implies(
                every(
                  some(is(s[`phase${j}`], Phase.Read), is(s[`inFlight${j}`], 1)),
                  is(s[`fresh${j}`], 1),
                  is(s.row, RowState.Claimed + i),
                ),
                every(
                  is(s[`ran${i}`], 0),
                  some(is(s[`phase${i}`], Phase.Abandoned), is(s[`phase${i}`], Phase.Crashed)),
                ),
              ),
            ),
          ),
          ...ATTEMPTS.flatMap((i) =>
            ATTEMPTS.map((j) =>
              implies(
                every(
                  some(is(s[`phase${j}`], Phase.Read), is(s[`inFlight${j}`], 1)),
                  is(s[`fresh${j}`], 1),
                ),
                not(is(s.row, RowState.Finished + i)),
              ),
            ),
          ),
        ),
    },
    {
      name: "a resolved attempt cannot land",
      holds: each((s, i) =>
        every(
          implies(is(s[`resolved${i}`], 1), is(s[`fresh${i}`], 0)),
          implies(
            is(s[`phase${i}`], Phase.Abandoned),
            every(is(s[`told${i}`], Told.NotRun), is(s[`ran${i}`], 0)),
          ),
          implies(
            is(s[`told${i}`], Told.NotRun),
            some(is(s[`phase${i}`], Phase.Abandoned), is(s[`phase${i}`], Phase.Crashed)),
          ),
        ),
      ),
    },
  ];
}
