import type { ConsolaInstance } from "consola";
import type { Timers } from "../time/timers.js";

/** A daemon at its share of 18,000 requests per second has about three lines for each. */
const MAX_LINES_PER_SECOND = 200;
const MS_PER_SECOND = 1_000;

/**
 * Writes one log line per decision, up to a limit per second. Lines above the limit are dropped;
 * their number is logged later.
 */
export class DecisionLines {
  private currentSecond = -1;
  private linesThisSecond = 0;
  private suppressed = 0;

  private constructor(
    private readonly log: ConsolaInstance,
    private readonly timers: Timers,
  ) {}

  static create(parts: { log: ConsolaInstance; timers: Timers }): DecisionLines {
    return new DecisionLines(parts.log, parts.timers);
  }

  write(message: string, fields: Readonly<Record<string, unknown>>): void {
    const second = Math.floor(this.timers.now() / MS_PER_SECOND);
    if (second !== this.currentSecond) {
      if (this.suppressed > 0) {
        this.log.warn({ message: "log lines suppressed", lines: this.suppressed });
      }
      this.currentSecond = second;
      this.linesThisSecond = 0;
      this.suppressed = 0;
    }
    this.linesThisSecond += 1;
    if (this.linesThisSecond > MAX_LINES_PER_SECOND) this.suppressed += 1;
    else this.log.info({ message, ...fields });
  }
}
