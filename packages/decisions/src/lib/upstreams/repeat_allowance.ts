/**
 * Limits how many requests one instance may repeat at another upstream, so that
 * all instances together keep to the fleet's limit. This matters when upstreams
 * fail and all instances send their requests to a second one at the same time.
 */
import type {Millis} from '../base/clock.js';

/** Limits on the repeats of the whole fleet, for each service. */
export interface RepeatBounds {
  /** Allowed repeats as a fraction of the requests in the window. */
  ratio: number;
  /** Number of repeats allowed in each window in addition to the ratio. */
  slack: number;
  /** Length of the sliding window. */
  window: Millis;
}

/**
 * Fraction of the slack that instances may use; the rest covers repeats that an
 * instance made before it restarted and no longer counts.
 */
const USABLE_SLACK_FRACTION = 0.6;

/** Fraction of the ratio that instances may use. */
const USABLE_RATIO_FRACTION = 0.8;

/** Times of the requests and repeats in the window, the oldest first. */
interface RequestTimes {
  requests: Millis[];
  repeats: Millis[];
}

/** The repeats that one instance may still make, for each service. */
export class RepeatAllowance {
  private readonly timesByService = new Map<string, RequestTimes>();

  constructor(private readonly bounds: RepeatBounds) {}

  /** Records a request for a service. */
  recordRequest(service: string, now: Millis): void {
    this.timesOf(service, now).requests.push(now);
  }

  /**
   * Records a repeat and returns true if one more is allowed; otherwise returns
   * false.
   * @param instances number of instances that may be running, at least 1.
   */
  tryTake(service: string, instances: number, now: Millis): boolean {
    const {requests, repeats} = this.timesOf(service, now);
    const {ratio, slack} = this.bounds;
    const instanceSlack =
      (slack * USABLE_SLACK_FRACTION) / Math.max(1, instances);
    if (
      repeats.length + 1 >
      requests.length * ratio * USABLE_RATIO_FRACTION + instanceSlack
    ) {
      return false;
    }
    repeats.push(now);
    return true;
  }

  private timesOf(service: string, now: Millis): RequestTimes {
    const times = this.timesByService.get(service) ?? {
      requests: [],
      repeats: [],
    };
    this.timesByService.set(service, times);
    const oldest = now - this.bounds.window;
    removeBefore(times.requests, oldest);
    removeBefore(times.repeats, oldest);
    return times;
  }
}

function removeBefore(times: Millis[], oldest: Millis): void {
  let expired = 0;
  while ((times[expired] ?? Infinity) < oldest) {
    expired += 1;
  }
  if (expired > 0) {
    times.splice(0, expired);
  }
}
