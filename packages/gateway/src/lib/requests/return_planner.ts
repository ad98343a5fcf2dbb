/** Tells refused callers when to return. */
import {
  returnElsewhere,
  ReturnTimes,
  SATURATED_UTILISATION,
  ServiceRoom,
} from '@citrontrestle/decisions';
import {RefusalReason, REFUSAL_RESPONSES} from './refusal.js';
import type {
  Clock,
  LinkLoad,
  Millis,
  RefusedCaller,
} from '@citrontrestle/decisions';

/** Maximum number of services whose room is known. */
const MAX_SERVICES = 1_000;

/** Expected size of the request of a returning caller, in bytes. */
const EXPECTED_REQUEST_BYTES = 8_192;

/** Reasons that mean a lack of room at the upstreams of a service. */
const ROOM_REASONS = new Set([
  RefusalReason.NoUpstream,
  RefusalReason.Overloaded,
]);

/** What the delays of one service's callers are based on. */
interface ServiceState {
  room: ServiceRoom;
  returns: ReturnTimes;
}

/** Chooses the delays that an instance states in its refusals. */
export class ReturnPlanner {
  private readonly services = new Map<string, ServiceState>();
  private readonly linkReturns = new ReturnTimes();

  constructor(
    private readonly linkLoad: LinkLoad,
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  /** Records that an upstream of a service has answered a request. */
  recordAnswer(service: string): void {
    this.serviceState(service).room.recordAnswer(this.clock.now());
  }

  /**
   * Returns the delay for a request that is refused before it was forwarded;
   * undefined if a retry would not help.
   * @param restTime time for which all upstreams of the service want a rest.
   */
  delayOfService(
    service: string,
    reason: RefusalReason,
    caller: RefusedCaller,
    restTime: Millis = 0,
  ): Millis | undefined {
    const {retryAfter} = REFUSAL_RESPONSES[reason];
    if (retryAfter === undefined || !ROOM_REASONS.has(reason)) {
      return retryAfter;
    }
    const now = this.clock.now();
    const {room, returns} = this.serviceState(service);
    room.recordRefusal(now);
    const {wait, interval} = room.forecast(retryAfter, now);
    // Past answers do not tell when a service without upstreams gets new ones.
    const hasUpstreams = reason === RefusalReason.Overloaded;
    const earliest = Math.max(hasUpstreams ? wait : retryAfter, restTime);
    const forecast = {wait: earliest, interval};
    return returns.tell(caller, forecast, now, this.random());
  }

  /**
   * Returns the delay for a request that is refused because the link is full.
   * @param elsewhere time until callers reach another instance that has room;
   *     undefined if they come back to this one.
   */
  delayOfLink(caller: RefusedCaller, elsewhere: Millis | undefined): Millis {
    const {linkLoad} = this;
    if (elsewhere !== undefined) {
      return returnElsewhere(caller, elsewhere, this.random());
    }
    const now = this.clock.now();
    const interval = linkLoad.transferTime(EXPECTED_REQUEST_BYTES);
    const wait = linkLoad.timeUntil(SATURATED_UTILISATION, now) + interval;
    return this.linkReturns.tell(caller, {wait, interval}, now, this.random());
  }

  private serviceState(service: string): ServiceState {
    let state = this.services.get(service);
    if (state === undefined) {
      if (this.services.size >= MAX_SERVICES) {
        this.services.clear();
      }
      state = {room: new ServiceRoom(), returns: new ReturnTimes()};
      this.services.set(service, state);
    }
    return state;
  }
}
