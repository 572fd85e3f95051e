/**
 * The signals of a process from the moment of creation. A signal without a handler ends the process,
 * so this is created before the rest of the program is loaded.
 */
export class EarlySignals<Handled extends NodeJS.Signals> {
  private readonly early: Handled[] = [];
  private handler: ((signal: Handled) => void) | undefined;

  private constructor(signals: readonly Handled[]) {
    for (const signal of signals) {
      process.on(signal, () => {
        if (this.handler === undefined) this.early.push(signal);
        else this.handler(signal);
      });
    }
  }

  static create<Handled extends NodeJS.Signals>(
    signals: readonly Handled[],
  ): EarlySignals<Handled> {
    return new EarlySignals(signals);
  }

  /** Hands all signals to the handler, those that have come already first. */
  handle(handler: (signal: Handled) => void): void {
    this.handler = handler;
    for (const signal of this.early.splice(0)) handler(signal);
  }
}
