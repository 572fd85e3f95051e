import type { ForwardConfiguration } from "./forward-configuration.js";
import type { UpstreamEntry } from "./upstream-entry.js";

/** Decodes rows of the platform's store. */
export interface RowDecoder {
  /** Undefined if the row holds no configuration; throws if the configuration is invalid. */
  configuration(key: string, text: string): ForwardConfiguration | undefined;
  /** Undefined if the row describes no usable upstream. */
  upstream(id: string, text: string): UpstreamEntry | undefined;
}
