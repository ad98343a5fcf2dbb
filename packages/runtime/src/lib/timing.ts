/** Delays and timeouts in real time. */
import type {Millis} from '@citrontrestle/decisions';

/** Resolves after `duration` milliseconds. */
export function sleep(duration: Millis): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}

/** Waits until `work` settles, for `timeout` milliseconds at most. */
export async function waitAtMost(
  work: Promise<void>,
  timeout: Millis,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timedOut = new Promise<void>(resolve => {
    timer = setTimeout(resolve, timeout);
  });
  await Promise.race([work, timedOut]);
  clearTimeout(timer);
}
