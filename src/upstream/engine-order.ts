/** An instruction to an engine about one model. */
export interface EngineOrder {
  readonly kind: "load" | "unload";
  readonly model: string;
}
