import type { Engine } from "./engine.js";
import type { PlainService } from "./plain-service.js";

/** Everything that can be asked of one upstream. */
export interface UpstreamClient extends Engine, PlainService {
  /** Closes the connections; calls in progress fail. */
  close(): Promise<void>;
}
