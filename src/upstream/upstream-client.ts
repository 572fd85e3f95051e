import type { Engine } from "./engine.js";
import type { JsonService } from "./json-service.js";

/** Client of one upstream. */
export interface UpstreamClient extends Engine, JsonService {
  /** Closes the connections; calls in progress fail. */
  close(): Promise<void>;
}
