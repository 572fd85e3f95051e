import { below, choose, every, is, not, plus, some } from "../logic.js";
import type { State, Step } from "../specification.js";
import {
  ChangeRow,
  Phase,
  VERSIONS,
  type Proposal,
  type Instance,
  type Variable,
  type Rules,
} from "./state.js";

export function proposalSteps(rules: Rules, i: Proposal): Step<Variable>[] {
  const phase = `phase${i}` as const;
  const base = `base${i}` as const;
  const inFlight = `inFlight${i}` as const;
  const row = `row${i}` as const;
  return [
    {
      name: `proposal ${i} is sent`,
      guard: (s) => is(s[phase], Phase.Idle),
      update: (s) => ({ [phase]: Phase.Sent, [base]: s.head, [inFlight]: 1 }),
    },
    {
      name: `transaction ${i} lands`,
      guard: (s) =>
        every(
          is(s[inFlight], 1),
          is(s[row], ChangeRow.None),
          ...(rules.checkBase ? [is(s.head, s[base])] : []),
        ),
      update: (s) => ({
        [inFlight]: 0,
        [row]: ChangeRow.Accepted,
        head: plus(s[base], 1),
      }),
    },
    {
      name: `transaction ${i} is rejected or lost`,
      guard: (s) => is(s[inFlight], 1),
      update: () => ({ [inFlight]: 0 }),
    },
    {
      name: `operator ${i} is told accepted`,
      guard: (s) => every(is(s[phase], Phase.Sent), is(s[row], ChangeRow.Accepted)),
      update: () => ({ [phase]: Phase.ToldAccepted }),
    },
    {
      name: `a tombstone is put for proposal ${i}`,
      guard: (s) => every(is(s[phase], Phase.Sent), is(s[row], ChangeRow.None)),
      update: () => ({ [row]: ChangeRow.Tombstone }),
    },
    {
      name: `operator ${i} is told not accepted`,
      guard: (s) =>
        every(
          is(s[phase], Phase.Sent),
          some(
            is(s[row], ChangeRow.Tombstone),
            ...(rules.tombstone ? [] : [is(s[row], ChangeRow.None)]),
          ),
        ),
      update: () => ({ [phase]: Phase.ToldNotAccepted }),
    },
  ];
}

export function instanceSteps(rules: Rules, n: Instance): Step<Variable>[] {
  const view = `view${n}` as const;
  const highest = `highest${n}` as const;
  const corrupt = `corrupt${n}` as const;
  const adopted = (s: State<Variable>, version: number) => ({
    [view]: version,
    [highest]: choose(below(s[highest], version), version, s[highest]),
  });
  return VERSIONS.flatMap((version): Step<Variable>[] => [
    {
      name: `instance ${n} receives snapshot ${version}`,
      guard: (s) =>
        every(
          not(below(s.head, version)),
          ...(rules.adoptHigherOnly ? [below(s[view], version)] : []),
        ),
      update: (s) => adopted(s, version),
    },
    {
      name: `instance ${n} receives change ${version}`,
      guard: (s) =>
        every(
          not(below(s.head, version)),
          rules.changesInSequence ? is(s[view], version - 1) : below(s[view], version),
        ),
      update: (s) => ({
        ...adopted(s, version),
        [corrupt]: choose(is(s[view], version - 1), s[corrupt], 1),
      }),
    },
  ]);
}
