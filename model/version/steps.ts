import { type Formula, atMost, choose, every, is, not, some } from "../logic.js";
import type { State, Step } from "../specification.js";
import {
  INSTANCES,
  type Instance,
  PLANNED,
  type Rules,
  VERSIONS,
  type Variable,
  type Version,
} from "./state.js";

/** Whether other instances can tell the version of the attempt in progress. */
export function isEvident(s: State<Variable>): Formula {
  const planned = every(is(s.running, PLANNED), is(s.recorded, 0));
  return some(planned, every(is(s.inFlight, 0), is(s.stored, s.running)));
}

function beginning(version: Version): Step<Variable> {
  return {
    name: `the stream begins at version ${version}`,
    guard: (s) =>
      every(is(s.ended, 0), is(s.running, 0), is(s.caller, 0), is(s[`left${version}`], 0)),
    update: (s) => ({
      running: version,
      recorded: version === PLANNED ? s.recorded : 1,
      // A record of an earlier attempt names another version.
      inFlight: version === PLANNED ? choose(is(s.recorded, 1), version, 0) : version,
    }),
  };
}

function resumption(rules: Rules, n: Instance, version: Version): Step<Variable> {
  const own = `own${n}` as const;
  const isPlanned = version === PLANNED;
  const lookups = (s: State<Variable>): Formula[] => [
    ...(rules.readRecord ? [every(is(s.away, 0), is(s.stored, version))] : []),
    ...(isPlanned && rules.readRecord ? [every(is(s.away, 0), is(s.stored, 0))] : []),
    ...(isPlanned && !rules.readRecord ? [is(s.away, 0)] : []),
    ...(isPlanned && !rules.refuseInDoubt ? [is(s.away, 1)] : []),
  ];
  const servesAlone = (s: State<Variable>): Formula =>
    every(...VERSIONS.map((each) => is(s[`left${each}`], each === version ? 0 : 1)));
  return {
    name: `instance ${n} resumes at version ${version}`,
    guard: (s) =>
      every(
        not(is(s.caller, 0)),
        is(s.running, 0),
        is(s[`left${version}`], 0),
        some(
          is(s[own], version),
          ...lookups(s).map((found) => every(is(s[own], 0), found)),
          ...(rules.ignoreServing ? [] : [servesAlone(s)]),
        ),
      ),
    update: (s) => ({
      [own]: version,
      joined: choose(is(s.caller, version), s.joined, 1),
    }),
  };
}

export function steps(rules: Rules): Step<Variable>[] {
  return [
    ...VERSIONS.map(beginning),
    {
      name: "the record reaches the store",
      guard: (s) => every(not(is(s.inFlight, 0)), is(s.away, 0)),
      update: (s) => ({ stored: s.inFlight, inFlight: 0 }),
    },
    {
      name: "events are passed on",
      guard: (s) =>
        every(not(is(s.running, 0)), is(s.caller, 0), ...(rules.recordFirst ? [isEvident(s)] : [])),
      update: (s) => ({ caller: s.running, own1: s.running }),
    },
    {
      name: "the attempt breaks off",
      guard: (s) => not(is(s.running, 0)),
      update: () => ({ running: 0 }),
    },
    {
      name: "all instances end",
      guard: (s) => atMost(s.away, 1),
      update: () => ({ running: 0, ended: 1, own1: 0, own2: 0 }),
    },
    {
      name: "the store goes away or comes back",
      guard: (s) => atMost(s.away, 1),
      update: (s) => ({ away: choose(is(s.away, 0), 1, 0) }),
    },
    ...VERSIONS.map((version): Step<Variable> => ({
      name: `the engines of version ${version} leave`,
      guard: (s) => is(s[`left${version}`], 0),
      update: () => ({ [`left${version}`]: 1 }),
    })),
    ...INSTANCES.flatMap((n) => VERSIONS.map((version) => resumption(rules, n, version))),
  ];
}
