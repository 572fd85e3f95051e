/** Whether an upstream gets work; times are in ms of the monotonic clock. */
export type EjectionState =
  | { readonly kind: "eligible" }
  /** `periodMs` is the length of this ejection; it doubles when a probe fails. */
  | { readonly kind: "ejected"; readonly until: number; readonly periodMs: number }
  | { readonly kind: "probing"; readonly since: number; readonly periodMs: number };
