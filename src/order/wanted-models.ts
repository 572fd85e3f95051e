import type { Upstream } from "../configuration/configuration-document.js";

/** Which models each engine is to hold. */
export interface WantedModels {
  /** The wanted models of an engine; undefined if that is not known. */
  wanted(engine: Upstream): readonly string[] | undefined;
}
