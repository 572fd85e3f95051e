import type { ListedInstance } from "./listed-instance.js";

/** The platform's lagging list of live and leaving instances. */
export interface InstanceList {
  /** Throws `PeerUnavailable` if the list cannot be read. */
  list(): Promise<ListedInstance[]>;
}
