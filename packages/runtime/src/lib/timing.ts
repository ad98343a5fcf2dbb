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
