import { type Formula, atMost, below, every, implies, is, not, plus } from "../logic.js";
import type { Property, State } from "../specification.js";
import {
  Phase,
  PROCESSES,
  type Process,
  LEASE_TICKS,
  ORDER_TICKS,
  MOST_TAKEOVERS,
  type Variable,
} from "./state.js";

/** Facts that make the properties inductive. */
export function lemmas(): Property<Variable>[] {
  const each = (make: (s: State<Variable>, i: Process) => Formula) => (s: State<Variable>) =>
    every(...PROCESSES.map((i) => make(s, i)));
  const pairs = (make: (s: State<Variable>, i: Process, j: Process) => Formula) =>
    each((s, i) => every(...PROCESSES.map((j) => make(s, i, j))));
  const inFlight = (s: State<Variable>, i: Process): Formula => not(is(s[`order${i}`], 0));
  return [
    {
      name: "values stay in range",
      holds: (state) =>
        every(
          atMost(state.number, MOST_TAKEOVERS),
          atMost(state.applied, state.number),
          each((s, i) =>
            every(
              atMost(s[`phase${i}`], Phase.Holding),
              atMost(s[`age${i}`], LEASE_TICKS),
              atMost(s[`remaining${i}`], LEASE_TICKS),
              atMost(s[`wait${i}`], ORDER_TICKS),
              atMost(s[`orderAge${i}`], ORDER_TICKS),
              atMost(s[`order${i}`], s.number),
              atMost(s[`held${i}`], s.number),
              implies(not(is(s[`remaining${i}`], 0)), is(s[`phase${i}`], Phase.Holding)),
            ),
          )(state),
        ),
    },
    {
      name: "a running lease has the newest number",
      holds: each((s, i) => implies(not(is(s[`remaining${i}`], 0)), is(s[`held${i}`], s.number))),
    },
    {
      name: "an unchanged row was observed for less than the lease has left",
      holds: pairs((s, i, j) =>
        implies(
          every(is(s[`phase${j}`], Phase.Observing), is(s[`fresh${j}`], 1)),
          atMost(plus(s[`age${j}`], s[`remaining${i}`]), LEASE_TICKS),
        ),
      ),
    },
    {
      name: "an order in flight is older than any lease observed to its end",
      holds: pairs((s, i, j) =>
        implies(
          every(inFlight(s, i), is(s[`phase${j}`], Phase.Observing), is(s[`fresh${j}`], 1)),
          i === j
            ? atMost(s[`age${j}`], s[`orderAge${i}`])
            : below(s[`age${j}`], plus(s[`orderAge${i}`], LEASE_TICKS)),
        ),
      ),
    },
    {
      name: "the newest holder waits until old orders are over",
      holds: pairs((s, i, k) =>
        implies(
          every(
            inFlight(s, i),
            below(s[`order${i}`], s.number),
            is(s[`phase${k}`], Phase.Holding),
            is(s[`held${k}`], s.number),
          ),
          not(atMost(plus(s[`wait${k}`], s[`orderAge${i}`]), ORDER_TICKS)),
        ),
      ),
    },
    {
      name: "orders in flight have one number, and none is older than what was applied",
      holds: pairs((s, i, j) =>
        every(
          implies(every(inFlight(s, i), inFlight(s, j)), is(s[`order${i}`], s[`order${j}`])),
          implies(inFlight(s, i), atMost(s.applied, s[`order${i}`])),
        ),
      ),
    },
  ];
}
