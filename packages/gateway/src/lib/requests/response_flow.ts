/**
 * Whether the response of an upstream is read on. A large body waits while the
 * machine's link is crowded, so that other requests have room on it.
 */
import type {UpstreamCall} from '../upstreams/upstream_call.js';
import type {Clock, LinkLoad, Millis} from '@citrontrestle/decisions';

/** Interval at which a paused large body looks for room on the link. */
const CHECK_INTERVAL: Millis = 50;

/** The reading of the responses to one request. */
export class ResponseFlow {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly linkLoad: LinkLoad,
    private readonly clock: Clock,
  ) {}

  /**
   * Reads on, or pauses until there is room.
   * @param isBulk whether the response is a large body.
   */
  readOnIfRoom(call: UpstreamCall | undefined, isBulk: boolean): void {
    if (!isBulk || this.hasRoom()) {
      call?.setFlowing(true);
      return;
    }
    call?.setFlowing(false);
    this.stop();
    this.timer = setInterval(() => {
      if (this.hasRoom()) {
        this.stop();
        call?.setFlowing(true);
      }
    }, CHECK_INTERVAL);
  }

  /** Looks for room no longer. */
  stop(): void {
    clearInterval(this.timer);
  }

  private hasRoom(): boolean {
    return !this.linkLoad.isCrowded(this.clock.now());
  }
}
