/** The processes of the model. */
export const PROCESSES = [1, 2] as const;
/** One of the processes. */
export type Process = (typeof PROCESSES)[number];

/** Duration of a lease in ticks. */
export const LEASE_TICKS = 2;
/** Longest time of an order in flight, in ticks; longer than the lease, as in the settings. */
export const ORDER_TICKS = 3;
/** Bound on takeovers, which keeps the numbers finite. */
export const MOST_TAKEOVERS = 7;

/** States of a process. */
export enum Phase {
  Idle = 0,
  Observing = 1,
  Holding = 2,
}

/** Variables that each process has. */
export type PerProcess =
  | "phase"
  /** Ticks for which the row was observed. */
  | "age"
  /** 1 if the row was not written since the observation began. */
  | "fresh"
  | "held"
  /** Ticks left of the lease on the process's own clock. */
  | "remaining"
  /** Ticks until the first order may be sent. */
  | "wait"
  /** Fencing number of the order in flight; 0 for none. */
  | "order"
  | "orderAge";
/** The variables of the model. */
export type Variable = "number" | "applied" | "stale" | `${PerProcess}${Process}`;

/** Rules that a broken variant leaves out. */
export interface Rules {
  readonly observeWholeLease: boolean;
  readonly checkRemaining: boolean;
  readonly waitAfterTakeover: boolean;
}

/** The protocol as it is built. */
export const ALL_RULES: Rules = {
  observeWholeLease: true,
  checkRemaining: true,
  waitAfterTakeover: true,
};

/** Names of the variables that each process has. */
export const PER_PROCESS: readonly PerProcess[] = [
  "phase",
  "age",
  "fresh",
  "held",
  "remaining",
  "wait",
  "order",
  "orderAge",
];

/** Every variable starts at zero. */
export function initialState(): Record<Variable, number> {
  const names = [
    "number",
    "applied",
    "stale",
    ...PROCESSES.flatMap((i) => PER_PROCESS.map((name) => `${name}${i}`)),
  ];
  return Object.fromEntries(names.map((name) => [name, 0])) as Record<Variable, number>;
}
