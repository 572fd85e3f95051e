/** The proposals of the model. */
export const PROPOSALS = [1, 2, 3] as const;
/** The instances of the model. */
export const INSTANCES = [1, 2] as const;
/** The versions that can be accepted. */
export const VERSIONS = [1, 2, 3] as const;
/** One of the proposals. */
export type Proposal = (typeof PROPOSALS)[number];
/** One of the instances. */
export type Instance = (typeof INSTANCES)[number];

/** What the operator of a proposal knows. */
export enum Phase {
  Idle = 0,
  Sent = 1,
  ToldAccepted = 2,
  ToldNotAccepted = 3,
}

/** States of a change-id row. */
export enum ChangeRow {
  None = 0,
  Accepted = 1,
  Tombstone = 2,
}

/** Variables that each proposal has. */
export type PerProposal = "phase" | "base" | "inFlight" | "row";
/** Variables that each instance has. */
export type PerInstance = "view" | "highest" | "corrupt";
/** The variables of the model. */
export type Variable = "head" | `${PerProposal}${Proposal}` | `${PerInstance}${Instance}`;

/** Rules that a broken variant leaves out. */
export interface Rules {
  readonly checkBase: boolean;
  readonly tombstone: boolean;
  readonly adoptHigherOnly: boolean;
  readonly changesInSequence: boolean;
}

/** The protocol as it is built. */
export const ALL_RULES: Rules = {
  checkBase: true,
  tombstone: true,
  adoptHigherOnly: true,
  changesInSequence: true,
};

/** Every variable starts at zero. */
export function initialState(): Record<Variable, number> {
  const names = [
    "head",
    ...PROPOSALS.flatMap((i) => ["phase", "base", "inFlight", "row"].map((name) => `${name}${i}`)),
    ...INSTANCES.flatMap((n) => ["view", "highest", "corrupt"].map((name) => `${name}${n}`)),
  ];
  return Object.fromEntries(names.map((name) => [name, 0])) as Record<Variable, number>;
}
