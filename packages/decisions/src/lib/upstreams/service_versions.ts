/**
 * The software versions that the upstreams of each service have, and had lately.
 * A process that starts knows only those that are listed now; a record in the
 * store tells it the earlier ones.
 */
import type {Millis} from '../base/clock.js';

/**
 * Time for which a version stays in the record after streams of it have ended,
 * as an instance may still know an upstream that others know to be gone.
 */
const RECORD_MARGIN: Millis = 10_000;

/** What the record tells of one service. */
export interface RecordedVersions {
  versions: string[];
  /**
   * Whether no other version can have begun a stream that still runs. False if
   * the writer had not known the service for long enough.
   */
  complete: boolean;
}

/** The versions of all services, as they are stored. */
export interface VersionRecord {
  /** Era of the store in which it was written. */
  era: number;
  services: Record<string, RecordedVersions>;
}

/** Where and when a record was read. */
export interface RecordReading {
  /** Era of the store that was read. */
  era: number;
  /** When the read began. */
  startedAt: Millis;
}

/** The versions of the services as one instance knows them. */
export class ServiceVersions {
  /** When each version was last in use, by service and version. */
  private readonly times = new Map<string, Map<string, Millis>>();
  /** When the list of upstreams became known. */
  private knownSince: Millis | undefined;
  /** Services of which earlier versions are known from the record. */
  private readonly completeServices = new Set<string>();

  /** Records that the list of upstreams is known from now on. */
  markKnown(now: Millis): void {
    this.knownSince ??= now;
  }

  /** Records that an upstream of a service is listed. */
  note(service: string, version: string, now: Millis): void {
    const times = this.times.get(service) ?? new Map<string, Millis>();
    times.set(version, now);
    this.times.set(service, times);
  }

  /**
   * Learns earlier versions from the record. It is complete only if it belongs
   * to the era of the store that was read, as a store that has gone back may
   * have lost a version, and if the list of upstreams was known before.
   */
  learn(record: VersionRecord, reading: RecordReading, now: Millis): void {
    const wasListKnown =
      this.knownSince !== undefined && this.knownSince <= reading.startedAt;
    const isCurrent = record.era === reading.era && wasListKnown;
    for (const [service, recorded] of Object.entries(record.services)) {
      recorded.versions.forEach(version => this.note(service, version, now));
      if (isCurrent && recorded.complete) {
        this.completeServices.add(service);
      }
    }
  }

  /** Returns the versions that were in use within the time `duration`. */
  lately(service: string, duration: Millis, now: Millis): string[] {
    return [...(this.times.get(service) ?? [])]
      .filter(([, usedAt]) => now - usedAt <= duration)
      .map(([version]) => version);
  }

  /**
   * Returns the version that all upstreams of a service have had for the time
   * `duration`; undefined if they had several or that is unknown.
   */
  only(service: string, duration: Millis, now: Millis): string | undefined {
    const [version, ...others] = this.lately(service, duration, now);
    const isOnly = others.length === 0 && version !== '';
    return isOnly && this.isComplete(service, duration, now)
      ? version
      : undefined;
  }

  /**
   * Returns whether streams of a service may have begun at several versions.
   * @param lifetime maximum time for which a stream of the service lasts.
   */
  isMixed(service: string, lifetime: Millis, now: Millis): boolean {
    const versions = this.lately(service, lifetime + RECORD_MARGIN, now);
    return versions.length > 1 || versions.includes('');
  }

  /**
   * Returns the record of some services.
   * @param lifetimes maximum time for which streams last, by service.
   */
  toRecord(
    lifetimes: ReadonlyMap<string, Millis>,
    era: number,
    now: Millis,
  ): VersionRecord {
    const services = [...lifetimes].map(
      ([service, lifetime]): [string, RecordedVersions] => [
        service,
        {
          versions: this.lately(service, lifetime + RECORD_MARGIN, now).sort(),
          complete: this.isComplete(service, lifetime, now),
        },
      ],
    );
    return {era, services: Object.fromEntries(services.sort())};
  }

  /**
   * Forgets the services that have no upstream and had none for a time.
   * @param isListed whether a service has an upstream.
   */
  prune(
    isListed: (service: string) => boolean,
    retention: Millis,
    now: Millis,
  ): void {
    for (const [service, times] of this.times) {
      const isOld = [...times.values()].every(t => now - t > retention);
      if (isOld && !isListed(service)) {
        this.times.delete(service);
        this.completeServices.delete(service);
      }
    }
  }

  /** Whether all versions of the time `duration` are known. */
  private isComplete(service: string, duration: Millis, now: Millis): boolean {
    const isKnownLongEnough = now - (this.knownSince ?? now) >= duration;
    return isKnownLongEnough || this.completeServices.has(service);
  }
}
