import { atMost, every, implies, is, not, some } from "../logic.js";
import type { Property } from "../specification.js";
import { INSTANCES, PLANNED, type Variable } from "./state.js";

/** Facts that make the property inductive. */
export function lemmas(): Property<Variable>[] {
  return [
    {
      name: "values are in range",
      holds: (s) =>
        every(
          ...[s.away, s.recorded].map((each) => atMost(each, 1)),
          ...[s.running, s.inFlight, s.stored, s.caller].map((each) => atMost(each, 2)),
        ),
    },
    {
      name: "a stream that needed no record runs as planned",
      holds: (s) =>
        implies(
          is(s.recorded, 0),
          every(is(s.inFlight, 0), is(s.stored, 0), some(is(s.running, 0), is(s.running, PLANNED))),
        ),
    },
    {
      name: "the version of passed events is stored, or planned without any record",
      holds: (s) =>
        implies(
          not(is(s.caller, 0)),
          some(
            every(is(s.inFlight, 0), is(s.stored, s.caller)),
            every(is(s.recorded, 0), is(s.caller, PLANNED)),
          ),
        ),
    },
    {
      name: "instances remember the version of passed events",
      holds: (s) =>
        every(...INSTANCES.map((n) => some(is(s[`own${n}`], 0), is(s[`own${n}`], s.caller)))),
    },
  ];
}
