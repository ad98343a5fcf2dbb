/** Shares the results of an operation among all who need a fresh one. */

/**
 * Runs an operation so that each result is of a run that began after it was
 * asked for. Those who ask during a run share the next one.
 */
export class FreshResult<T> {
  private running: Promise<T> | undefined;
  private next: Promise<T> | undefined;

  constructor(private readonly operation: () => Promise<T>) {}

  /** Returns the result of a run that begins now or later. */
  get(): Promise<T> {
    if (this.running === undefined) {
      return this.run();
    }
    // Whoever asked for the running one gets its error.
    const runNext = () => {
      this.next = undefined;
      return this.run();
    };
    this.next ??= this.running.then(runNext, runNext);
    return this.next;
  }

  private run(): Promise<T> {
    const run = this.operation().finally(() => {
      if (this.running === run) {
        this.running = undefined;
      }
    });
    this.running = run;
    return run;
  }
}
