/** Delays and timeouts in real time. */
import type {Millis} from '@citrontrestle/decisions';

/** Resolves after `duration` milliseconds. */
export function sleep(duration: Millis): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}

/** Waits until `work` settles, for `timeout` milliseconds at most. */
export async function waitAtMost<T>(
  work: Promise<T>,
  timeout: Millis,
): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timedOut = new Promise<undefined>(resolve => {
    timer = setTimeout(() => resolve(undefined), timeout);
  });
  const result = await Promise.race([work, timedOut]);
  clearTimeout(timer);
  return result;
}

/**
 * Calls back after a time, when what lay in the sockets at its end has been read:
 * a process that was held up runs its timers first. Once the time is over, the
 * call can't be cancelled any more.
 */
export function callAfterReading(
  duration: Millis,
  callback: () => void,
): NodeJS.Timeout {
  return setTimeout(() => setImmediate(callback), duration);
}
