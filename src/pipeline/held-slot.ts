import type { Slot } from "../admission/slot.js";

/** A slot that an attempt may be dispatched on. */
export interface HeldSlot extends Slot {
  /** Whether the attempt runs alone because its content is suspect. */
  readonly alone: boolean;
}
