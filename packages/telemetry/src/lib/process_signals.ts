// Imports nothing, so that a program which imports it first handles signals
// before its other modules are evaluated.

/** A signal that this module handles. @public */
export type HandledSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';

const HANDLED_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

/**
 * Handles signals for the whole life of the process, so that none ends it by its
 * default effect.
 *
 * @public
 */
export class ProcessSignals {
  /** Signals that came before anyone listened. */
  private readonly early: HandledSignal[] = [];
  private listener: ((signal: HandledSignal) => void) | undefined;

  private constructor() {}

  static install(): ProcessSignals {
    const signals = new ProcessSignals();
    for (const signal of HANDLED_SIGNALS) {
      process.on(signal, () => signals.onSignal(signal));
    }
    return signals;
  }

  /** Calls the listener with the signals that came, then with each new one. */
  listen(listener: (signal: HandledSignal) => void): void {
    this.listener = listener;
    for (const signal of this.early.splice(0)) listener(signal);
  }

  private onSignal(signal: HandledSignal): void {
    if (this.listener === undefined) this.early.push(signal);
    else this.listener(signal);
  }
}

/** The signals of this process, handled once this module is imported. @public */
export const processSignals = ProcessSignals.install();
