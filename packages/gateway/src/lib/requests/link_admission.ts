/**
 * What an instance does while its link is busy: whether it is ready for new
 * connections, and which requests it refuses on their head alone.
 */
import {
  admitsHead,
  hasZoneRoom,
  MIN_REFUSING_UTILISATION,
  Readiness,
  priorityOf,
} from '@citrontrestle/decisions';
import {ESTIMATED_HEAD_BYTES} from './admission.js';
import type {CallerRequest, Dialect} from '../process/ports.js';
import type {ReturnPlanner} from './return_planner.js';
import type {
  Clock,
  LinkLoad,
  Millis,
  RouteTable,
  ZoneLinks,
} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';
import type {IncomingMessage} from 'node:http';

/** Interval at which readiness is decided. */
const UPDATE_INTERVAL: Millis = 100;

/** Components that a `LinkAdmission` uses. */
export interface LinkAdmissionContext {
  linkLoad: LinkLoad;
  routeTable: RouteTable;
  dialect: Dialect;
  returnPlanner: ReturnPlanner;
  clock: Clock;
  log: Log;
  /** Returns the links of the zone; undefined if they are not known. */
  zoneLinks(): ZoneLinks | undefined;
}

/** A request that is refused on its head. */
export interface RefusedHead {
  /** Identifier of the request. */
  id: string;
  retryAfter: Millis;
}

/** What operators are shown of the link. */
export interface LinkStatus {
  /** Used fraction of the link. */
  use: number;
  /** Whether the instance takes new connections, as far as its link goes. */
  isReady: boolean;
}

/** Decides on new connections and on requests whose body is not read yet. */
export class LinkAdmission {
  private readonly readiness = new Readiness();
  private zone: ZoneLinks | undefined;
  private updatedAt: Millis = -Infinity;

  constructor(private readonly context: LinkAdmissionContext) {}

  /** Whether the instance takes new connections, as far as its link goes. */
  isReady(): boolean {
    this.update();
    return this.readiness.isReady();
  }

  /** Whether other instances of the zone have room on their links. */
  othersHaveRoom(): boolean {
    this.update();
    const {linkLoad, clock} = this.context;
    const ownUse = linkLoad.reportedUtilisation(clock.now());
    return this.zone !== undefined && hasZoneRoom(this.zone, ownUse);
  }

  /** Returns what operators are shown. */
  status(): LinkStatus {
    const {linkLoad, clock} = this.context;
    return {
      use: linkLoad.utilisation(clock.now()),
      isReady: this.readiness.isReady(),
    };
  }

  /**
   * Returns how a request is refused before its body is read; undefined if it is
   * to be read.
   */
  refusalOf(incoming: IncomingMessage): RefusedHead | undefined {
    const {linkLoad, clock, dialect, returnPlanner} = this.context;
    const utilisation = linkLoad.utilisation(clock.now());
    if (utilisation < MIN_REFUSING_UTILISATION) {
      return undefined;
    }
    const {method = '', url = '', headers} = incoming;
    const callerRequest = dialect.parseCallerRequest(method, url, headers);
    const caller = this.callerOf(callerRequest);
    const length = Number(headers['content-length'] ?? 0);
    const bytes = Number.isFinite(length) ? Math.max(0, length) : 0;
    const othersHaveRoom = this.othersHaveRoom();
    const isAdmitted = admitsHead({
      utilisation,
      bodyBytes: bytes,
      bodyUtilisation: linkLoad.utilisationOf(bytes + ESTIMATED_HEAD_BYTES),
      priority: caller.priority,
      othersHaveRoom,
    });
    return isAdmitted
      ? undefined
      : {
          id: callerRequest.id,
          retryAfter: returnPlanner.delayOfLink(
            caller,
            this.readiness.timeUntilElsewhere(clock.now()),
          ),
        };
  }

  /** Returns the priority of a request, and the time that it has. */
  private callerOf({host, path, apiKey, timeout}: CallerRequest): {
    priority: number;
    remainingTime: Millis;
  } {
    const {routeTable} = this.context;
    const route = routeTable.findRoute(host, path);
    const account =
      route?.isPublic === true
        ? undefined
        : routeTable.findAccount(apiKey ?? '');
    const limits = [timeout ?? Infinity, route?.timeout ?? Infinity];
    return {
      priority: priorityOf(route ?? {priority: Infinity}, account),
      remainingTime: Math.min(...limits),
    };
  }

  private update(): void {
    const {linkLoad, clock, log} = this.context;
    const now = clock.now();
    if (now - this.updatedAt < UPDATE_INTERVAL) {
      return;
    }
    this.updatedAt = now;
    this.zone = this.context.zoneLinks();
    const wasReady = this.readiness.isReady();
    const utilisation = linkLoad.reportedUtilisation(now);
    const isBusy = linkLoad.isBusy(now);
    const {zone} = this;
    const isReady = this.readiness.update({isBusy, utilisation, zone}, now);
    if (isReady !== wasReady) {
      log.info(isReady ? 'link.ready' : 'link.unready', {
        utilisation: Number(utilisation.toFixed(2)),
        zoneUse: zone && Number(zone.use.toFixed(2)),
        zoneSize: zone?.size,
      });
    }
  }
}
