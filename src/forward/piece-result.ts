/** Why an upstream did not produce a piece. */
export enum PieceFailure {
  Late = "late",
  InputGone = "input-gone",
  NoRoom = "no-room",
  Failed = "failed",
}

/** Outcome of one piece of a stage call. */
export type PieceResult =
  | { readonly kind: "made"; readonly handle: string }
  | { readonly kind: "failed"; readonly reason: PieceFailure };
