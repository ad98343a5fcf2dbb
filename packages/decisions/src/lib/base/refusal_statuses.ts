/** HTTP statuses that state that a request was refused without being run. */

/** Statuses that promise that the request has not run and never will. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a status promises that the request has not run and never will. */
export function promisesNotRun(status: number): boolean {
  return PROMISE_STATUSES.has(status);
}
