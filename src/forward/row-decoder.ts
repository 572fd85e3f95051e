import type { ForwardConfiguration } from "./forward-configuration.js";
import type { UpstreamEntry } from "./upstream-entry.js";
import type { UpstreamWrite } from "./upstream-write.js";

/** Decodes rows of the platform's store. */
export interface RowDecoder {
  /** Undefined if the row holds no configuration; throws if the configuration is invalid. */
  configuration(key: string, text: string): ForwardConfiguration | undefined;
  /** The data centre whose evacuation a row with this key orders; undefined if it orders none. */
  evacuation(key: string): string | undefined;
  /** Which write of an upstream a row is; undefined if the row describes no usable upstream. */
  upstreamWrite(id: string, text: string): UpstreamWrite | undefined;
  /** Undefined if the row describes no usable upstream. */
  upstream(id: string, text: string): UpstreamEntry | undefined;
}
