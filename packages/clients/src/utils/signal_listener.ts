/**
 * Listens to a signal from the start of the program, as the signal would end a
 * process that does not. A signal that comes during the start is handled after it.
 */
export class SignalListener {
  private handler: (() => void) | undefined;
  private isPending = false;

  private constructor() {}

  /**
   * @example
   * ```ts
   * const hangups = SignalListener.create('SIGHUP');
   * hangups.handle(() => reloadSettings());
   * ```
   */
  static create(signal: NodeJS.Signals): SignalListener {
    const listener = new SignalListener();
    process.on(signal, () => listener.receive());
    return listener;
  }

  /** Sets the handler; called at once if a signal has come before. */
  handle(handler: () => void): void {
    this.handler = handler;
    if (this.isPending) handler();
    this.isPending = false;
  }

  private receive(): void {
    if (this.handler === undefined) this.isPending = true;
    else this.handler();
  }
}
