/** The instances of the model. */
export const INSTANCES = [1, 2] as const;
/** The software versions of the model; the plan of versions names the first one for the stream. */
export const VERSIONS = [1, 2] as const;
/** The version that the plan names. */
export const PLANNED = 1;
/** One of the instances. */
export type Instance = (typeof INSTANCES)[number];
/** One of the versions. */
export type Version = (typeof VERSIONS)[number];

const NAMES = [
  /** Whether the store does not answer. */
  "away",
  /** Version of the attempt in progress; 0 for none. */
  "running",
  /** Whether the stream ever needed a record. */
  "recorded",
  /** Version of the newest record if it has not reached the store; 0 for none. */
  "inFlight",
  /** Version of the record in the store; 0 for none. */
  "stored",
  /** Version of the events that the caller holds; 0 for none. */
  "caller",
  /** Whether the instance that began the stream has ended. */
  "ended",
  /** Whether events of a second version reached the caller. */
  "joined",
  /** Whether the engines of a version have left. */
  "left1",
  "left2",
  /** Version of the stream in the memory of an instance; 0 if it is not known there. */
  "own1",
  "own2",
] as const;

/** The variables of the model. */
export type Variable = (typeof NAMES)[number];

/** Rules that a broken variant leaves out. */
export interface Rules {
  /** Events pass only when their version follows from the plan or a stored record. */
  readonly recordFirst: boolean;
  /** A resumption reads the record of the stream. */
  readonly readRecord: boolean;
  /** Without the store, an instance that does not know the version refuses the resumption. */
  readonly refuseInDoubt: boolean;
  /** A stream whose version has left does not go on at the one that still serves. */
  readonly ignoreServing: boolean;
}

/** The protocol as it is built. */
export const ALL_RULES: Rules = {
  recordFirst: true,
  readRecord: true,
  refuseInDoubt: true,
  ignoreServing: true,
};

/** Every variable starts at zero. */
export function initialState(): Record<Variable, number> {
  return Object.fromEntries(NAMES.map((name) => [name, 0])) as Record<Variable, number>;
}
