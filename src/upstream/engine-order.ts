/** An order to an engine to load or unload one model. */
export interface EngineOrder {
  readonly kind: "load" | "unload";
  readonly model: string;
}
