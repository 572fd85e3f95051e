import type { Subscription } from "../time/subscription.js";
import type { Member } from "./member.js";

/** The instances of the system. */
export interface Members {
  /** Id of this instance. */
  readonly self: string;
  /** All known instances but this one, including dead ones until they are forgotten. */
  all(): readonly Member[];
  find(id: string): Member | undefined;
  /** Calls `handler` after each change of a member. */
  subscribe(handler: (member: Member) => void): Subscription;
}
