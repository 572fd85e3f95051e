import type { ConsolaInstance } from "consola";
import type { Settings } from "../settings/settings.js";
import type { Decision } from "./decision.js";

/** Writes one log line for each routing, admission and placement decision. */
export class DecisionLog {
  private constructor(
    private readonly log: ConsolaInstance,
    private readonly enabled: boolean,
  ) {}

  static create(parts: { log: ConsolaInstance; settings: Settings }): DecisionLog {
    return new DecisionLog(parts.log, parts.settings.log.decisions);
  }

  write(decision: Decision): void {
    if (this.enabled) this.log.info({ message: "decision", ...decision });
  }
}
