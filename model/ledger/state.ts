/** The attempts of the model. */
export const ATTEMPTS = [1, 2, 3] as const;
/** One of the attempts. */
export type Attempt = (typeof ATTEMPTS)[number];

/** States of the row; claimed and finished rows add the number of the attempt. */
export enum RowState {
  Absent = 0,
  Released = 1,
  Claimed = 10,
  Finished = 20,
}

/** States of an attempt at its holder. */
export enum Phase {
  Idle = 0,
  Read = 1,
  Sent = 2,
  Confirmed = 3,
  Dispatched = 4,
  Abandoned = 5,
  Crashed = 6,
}

/** What the caller of an attempt was told. */
export enum Told {
  Nothing = 0,
  NotRun = 1,
}

/** Variables that each attempt has. */
export type PerAttempt = "phase" | "fresh" | "inFlight" | "landed" | "told" | "ran" | "resolved";
/** The variables of the model. */
export type Variable = "row" | `${PerAttempt}${Attempt}`;

/** Rules that a broken variant leaves out. */
export interface Rules {
  readonly confirmBeforeDispatch: boolean;
  readonly keepClaims: boolean;
  readonly abandonBlocksDispatch: boolean;
  readonly tombstone: boolean;
}

/** The protocol as it is built. */
export const ALL_RULES: Rules = {
  confirmBeforeDispatch: true,
  keepClaims: true,
  abandonBlocksDispatch: true,
  tombstone: true,
};

/** Every variable starts at zero. */
export function initialState(): Record<Variable, number> {
  const perAttempt = ATTEMPTS.flatMap((i) =>
    (["phase", "fresh", "inFlight", "landed", "told", "ran", "resolved"] as const).map(
      (name) => [`${name}${i}`, 0] as const,
    ),
  );
  return Object.fromEntries([["row", RowState.Absent], ...perAttempt]) as Record<Variable, number>;
}
