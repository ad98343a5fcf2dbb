/**
 * The part of the fleet's budget of repeated requests that one instance may
 * use. Load pattern: upstreams fail, and all instances send their requests to
 * a second one at the same moment.
 */
import type {Millis} from './clock.js';

/** Bounds on repeats in the whole fleet. */
export interface RepeatBounds {
  /** Repeats as a part of the requests in the window. */
  ratio: number;
  /** Repeats that are allowed besides, in each window. */
  slack: number;
  window: Millis;
}

/** Part of the slack that is given out; the rest covers restarts. */
const SLACK_PART = 0.6;

/** Part of the ratio that is given out. */
const RATIO_PART = 0.8;

interface Counts {
  requests: Millis[];
  repeats: Millis[];
}

/** Repeats of one instance, by service. */
export class RepeatAllowance {
  private readonly counts = new Map<string, Counts>();

  constructor(private readonly bounds: RepeatBounds) {}

  /** Notes a request for a service. */
  request(service: string, now: Millis): void {
    this.of(service, now).requests.push(now);
  }

  /**
   * Takes one repeat, if one is left.
   * @param instances instances that may be running, at least 1.
   */
  take(service: string, instances: number, now: Millis): boolean {
    const {requests, repeats} = this.of(service, now);
    const {ratio, slack} = this.bounds;
    const share = (slack * SLACK_PART) / Math.max(1, instances);
    if (repeats.length + 1 > requests.length * ratio * RATIO_PART + share) {
      return false;
    }
    repeats.push(now);
    return true;
  }

  private of(service: string, now: Millis): Counts {
    const counts = this.counts.get(service) ?? {requests: [], repeats: []};
    this.counts.set(service, counts);
    const oldest = now - this.bounds.window;
    dropBefore(counts.requests, oldest);
    dropBefore(counts.repeats, oldest);
    return counts;
  }
}

function dropBefore(times: Millis[], oldest: Millis): void {
  let count = 0;
  while ((times[count] ?? Infinity) < oldest) {
    count += 1;
  }
  if (count > 0) {
    times.splice(0, count);
  }
}
