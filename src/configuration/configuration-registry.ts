import type { ConfigurationChange } from "./configuration-change.js";
import type { Proposal } from "./proposal.js";

/** Accepts configuration changes; what it accepts lasts and is spread to all instances. */
export interface ConfigurationRegistry {
  /**
   * Resolves with the accepted change, also if the same change id was accepted before.
   * Throws `InvalidConfiguration`, `StaleBaseVersion` (names the version that won),
   * `ChangeNotAccepted` (certainly not, now or later) or `TableUncertain` (ask again with the
   * same change id).
   */
  submit(proposal: Proposal): Promise<ConfigurationChange>;
  /** The newest accepted changes, newest first. */
  history(limit: number): Promise<ConfigurationChange[]>;
}
