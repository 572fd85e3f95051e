import type { ForwardConfiguration } from "./forward-configuration.js";
import type { UpstreamEntry } from "./upstream-entry.js";

/** Decodes rows of the platform's store. */
export interface RowDecoder {
  /** Undefined for rows of the table that hold something else; throws for one that is invalid. */
  configuration(key: string, text: string): ForwardConfiguration | undefined;
  /** Undefined if the row names no upstream that can be used. */
  upstream(id: string, text: string): UpstreamEntry | undefined;
}
