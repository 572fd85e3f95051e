import { type Term, below, choose, every, is, not, plus, some } from "../logic.js";
import type { Step } from "../specification.js";
import {
  Phase,
  PROCESSES,
  type PerProcess,
  type Process,
  LEASE_TICKS,
  ORDER_TICKS,
  MOST_TAKEOVERS,
  type Variable,
  type Rules,
} from "./state.js";

const rowWritten: Partial<Record<Variable, number>> = { fresh1: 0, fresh2: 0 };

export function processSteps(rules: Rules, i: Process): Step<Variable>[] {
  const name = <Part extends PerProcess>(part: Part) => `${part}${i}` as const;
  const zero = 0;
  return [
    {
      name: `process ${i} starts to observe the lease`,
      guard: (s) => not(is(s[name("phase")], Phase.Holding)),
      update: () => ({ [name("phase")]: Phase.Observing, [name("age")]: 0, [name("fresh")]: 1 }),
    },
    {
      name: `process ${i} takes the lease over`,
      guard: (s) =>
        every(
          is(s[name("phase")], Phase.Observing),
          is(s[name("fresh")], 1),
          below(s.number, MOST_TAKEOVERS),
          ...(rules.observeWholeLease ? [is(s[name("age")], LEASE_TICKS)] : []),
        ),
      update: (s) => ({
        ...rowWritten,
        [name("phase")]: Phase.Holding,
        number: plus(s.number, 1),
        [name("held")]: plus(s.number, 1),
        [name("remaining")]: LEASE_TICKS,
        [name("wait")]: rules.waitAfterTakeover ? ORDER_TICKS : 0,
      }),
    },
    {
      name: `process ${i} renews the lease`,
      guard: (s) => every(is(s[name("phase")], Phase.Holding), not(is(s[name("remaining")], 0))),
      update: () => ({ ...rowWritten, [name("remaining")]: LEASE_TICKS }),
    },
    {
      name: `the answer to a renewal by process ${i} is lost`,
      guard: (s) => every(is(s[name("phase")], Phase.Holding), not(is(s[name("remaining")], 0))),
      update: () => rowWritten,
    },
    {
      name: `process ${i} sends an order`,
      guard: (s) =>
        every(
          is(s[name("phase")], Phase.Holding),
          is(s[name("wait")], 0),
          is(s[name("order")], 0),
          ...(rules.checkRemaining ? [not(is(s[name("remaining")], 0))] : []),
        ),
      update: (s) => ({ [name("order")]: s[name("held")], [name("orderAge")]: 0 }),
    },
    {
      name: `the engine receives the order of process ${i}`,
      guard: (s) => not(is(s[name("order")], 0)),
      update: (s) => {
        const old = below(s[name("order")], s.applied);
        return {
          [name("order")]: 0,
          applied: choose(old, s.applied, s[name("order")]),
          stale: choose(old, 1, s.stale),
        };
      },
    },
    {
      name: `the order of process ${i} is lost`,
      guard: (s) => not(is(s[name("order")], 0)),
      update: () => ({ [name("order")]: 0 }),
    },
    {
      name: `process ${i} gives the lease up`,
      guard: (s) => is(s[name("phase")], Phase.Holding),
      update: () => ({ [name("phase")]: Phase.Idle, [name("remaining")]: zero }),
    },
  ];
}

export function tick(): Step<Variable> {
  const one = 1;
  const down = (term: Term): Term => choose(is(term, 0), term, term.sub(one));
  const upTo = (term: Term, most: number): Term => choose(is(term, most), term, term.add(one));
  return {
    name: "a tick passes",
    guard: (s) =>
      every(
        ...PROCESSES.map((i) => some(is(s[`order${i}`], 0), below(s[`orderAge${i}`], ORDER_TICKS))),
      ),
    update: (s) =>
      Object.fromEntries(
        PROCESSES.flatMap((i) => [
          [`age${i}`, upTo(s[`age${i}`], LEASE_TICKS)],
          [`remaining${i}`, down(s[`remaining${i}`])],
          [`wait${i}`, down(s[`wait${i}`])],
          [`orderAge${i}`, upTo(s[`orderAge${i}`], ORDER_TICKS)],
        ]),
      ),
  };
}
