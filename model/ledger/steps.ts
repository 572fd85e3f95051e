import { type Formula, type Term, every, is, not, some } from "../logic.js";
import type { State, Step } from "../specification.js";
import {
  Told,
  Phase,
  RowState,
  ATTEMPTS,
  type Attempt,
  type Variable,
  type Rules,
} from "./state.js";

/** A write of the row, which makes what every attempt has read stale. */
function written(row: number): Partial<Record<Variable, number>> {
  return { row, fresh1: 0, fresh2: 0, fresh3: 0 };
}

export function attemptSteps(rules: Rules, i: Attempt): Step<Variable>[] {
  const phase = `phase${i}` as const;
  const fresh = `fresh${i}` as const;
  const inFlight = `inFlight${i}` as const;
  const landed = `landed${i}` as const;
  const told = `told${i}` as const;
  const ran = `ran${i}` as const;
  const resolved = `resolved${i}` as const;
  const others = ATTEMPTS.filter((j) => j !== i);
  const claimedBy = (state: State<Variable>, j: Attempt): Formula =>
    is(state.row, RowState.Claimed + j);
  const isOneOf = (term: Term, ...values: number[]): Formula =>
    some(...values.map((value) => is(term, value)));
  const claimable = (state: State<Variable>): Formula =>
    some(
      isOneOf(state.row, RowState.Absent, RowState.Released),
      // A live holder attests that it abandoned the attempt.
      ...others.map((j) => every(claimedBy(state, j), is(state[`phase${j}`], Phase.Abandoned))),
      ...(rules.keepClaims
        ? []
        : others.map((j) =>
            every(claimedBy(state, j), not(is(state[`phase${j}`], Phase.Abandoned))),
          )),
    );
  const dispatchable = (state: State<Variable>): Formula => {
    const phases = [Phase.Confirmed];
    if (!rules.confirmBeforeDispatch) phases.push(Phase.Sent);
    return rules.abandonBlocksDispatch
      ? isOneOf(state[phase], ...phases)
      : some(
          isOneOf(state[phase], ...phases),
          every(is(state[phase], Phase.Abandoned), is(state[landed], 1)),
        );
  };
  return [
    {
      name: `attempt ${i} reads the row`,
      guard: (s) => every(is(s[phase], Phase.Idle), claimable(s)),
      update: () => ({ [phase]: Phase.Read, [fresh]: 1 }),
    },
    {
      name: `attempt ${i} sends its claim`,
      guard: (s) => is(s[phase], Phase.Read),
      update: () => ({ [phase]: Phase.Sent, [inFlight]: 1 }),
    },
    {
      name: `claim ${i} lands`,
      guard: (s) => every(is(s[inFlight], 1), is(s[fresh], 1)),
      update: () => ({ ...written(RowState.Claimed + i), [inFlight]: 0, [landed]: 1 }),
    },
    {
      name: `claim ${i} is rejected or lost`,
      guard: (s) => is(s[inFlight], 1),
      update: () => ({ [inFlight]: 0 }),
    },
    {
      name: `attempt ${i} learns that its claim landed`,
      guard: (s) => every(is(s[phase], Phase.Sent), is(s[landed], 1)),
      update: () => ({ [phase]: Phase.Confirmed }),
    },
    {
      name: `attempt ${i} is abandoned and told not-run`,
      guard: (s) => isOneOf(s[phase], Phase.Read, Phase.Sent, Phase.Confirmed),
      update: () => ({ [phase]: Phase.Abandoned, [told]: Told.NotRun }),
    },
    {
      name: `attempt ${i} dispatches`,
      guard: dispatchable,
      update: () => ({ [phase]: Phase.Dispatched, [ran]: 1 }),
    },
    {
      name: `attempt ${i} stores its result`,
      guard: (s) => every(is(s[phase], Phase.Dispatched), claimedBy(s, i)),
      update: () => written(RowState.Finished + i),
    },
    {
      name: `attempt ${i} releases its claim or writes a tombstone`,
      guard: (s) =>
        every(
          is(s[phase], Phase.Abandoned),
          some(claimedBy(s, i), ...(rules.tombstone ? [is(s.row, RowState.Absent)] : [])),
        ),
      update: () => ({ ...written(RowState.Released), [resolved]: 1 }),
    },
    {
      name: `attempt ${i} finds that its claim can no longer land`,
      guard: (s) =>
        every(
          is(s[phase], Phase.Abandoned),
          not(claimedBy(s, i)),
          rules.tombstone ? is(s[fresh], 0) : isOneOf(s.row, RowState.Absent, RowState.Released),
        ),
      update: () => ({ [resolved]: 1 }),
    },
    {
      name: `holder of attempt ${i} crashes`,
      guard: (s) => not(is(s[phase], Phase.Crashed)),
      update: () => ({ [phase]: Phase.Crashed }),
    },
  ];
}
