/** Signals that a daemon handles; a check of the last one in the system's mask covers all. */
const HANDLED = ["SIGTERM", "SIGINT", "SIGHUP"] as const;

type Handled = (typeof HANDLED)[number];

/**
 * The signals of a process from the moment of creation. A signal without a handler ends the process,
 * so this is created before the rest of the program is loaded.
 */
export class EarlySignals {
  private readonly early: Handled[] = [];
  private handler: ((signal: Handled) => void) | undefined;

  private constructor() {
    for (const signal of HANDLED) {
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
