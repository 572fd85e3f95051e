type Handled = "SIGTERM" | "SIGINT" | "SIGHUP";

/**
 * Signals from the moment this module is loaded, which has to be before all others: a signal without
 * a handler ends the process, and loading the program takes some hundred ms.
 */
export class EarlySignals {
  private readonly early: Handled[] = [];
  private handler: ((signal: Handled) => void) | undefined;

  private constructor() {
    for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"] as const) {
      process.on(signal, () => {
        if (this.handler === undefined) this.early.push(signal);
        else this.handler(signal);
      });
    }
  }

  static create(): EarlySignals {
    return new EarlySignals();
  }

  /** Hands all signals to the handler, those that have come already first. */
  handle(handler: (signal: Handled) => void): void {
    this.handler = handler;
    for (const signal of this.early.splice(0)) handler(signal);
  }
}

/** The signals of this process. */
export const earlySignals = EarlySignals.create();
