/** Waits in real time. */
import type {Millis} from '@citrontrestle/decisions';

/** Waits for `span` milliseconds. */
export function pause(span: Millis): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, span));
}

/** Waits for work, but no longer than `span` milliseconds. */
export async function within(work: Promise<void>, span: Millis): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<void>(resolve => {
    timer = setTimeout(resolve, span);
  });
  await Promise.race([work, late]);
  clearTimeout(timer);
}
