/**
 * Finds the software version at which a stream goes on that a caller takes up
 * again. Callers come to any instance, mostly because the one that began their
 * stream has ended, so each beginning is told to other instances at once.
 */
import {streamLifetime} from '@citrontrestle/decisions';
import {
  callAfterReading,
  shortDigest,
  waitAtMost,
} from '@citrontrestle/runtime';
import type {AdmittedRequest} from '../requests/admission.js';
import type {
  Clock,
  Millis,
  StreamOrigins,
  UpstreamRegistry,
} from '@citrontrestle/decisions';

/** Maximum time to wait for another instance that knows a stream. */
const QUERY_TIMEOUT: Millis = 300;

/** Maximum time to wait for what the store has of streams and upstreams. */
const READ_TIMEOUT: Millis = 500;

/** What a `StreamTracker` needs from other components. */
export interface StreamTrackerContext {
  /** Tells other instances which version began a stream. */
  tellBeginning(stream: string, version: string): void;
  /** Asks other instances which version began a stream. */
  ask(stream: string): void;
  /** Records in the store, if that is needed, which version began a stream. */
  record(stream: string, version: string): void;
  /**
   * Reads in the store which versions there were; tells `learn` of streams.
   * Resolves to whether that was possible.
   */
  readRecords(): Promise<boolean>;
  /**
   * Learns all changes of the list of upstreams until now; resolves to whether
   * that was possible.
   */
  confirmUpstreams(): Promise<boolean>;
}

/** Knows at which version streams began, or finds it out. */
export class StreamTracker {
  /** Called with the version when it becomes known, by stream. */
  private readonly waiters = new Map<string, Set<(version: string) => void>>();

  constructor(
    private readonly origins: StreamOrigins,
    private readonly upstreamRegistry: UpstreamRegistry,
    private readonly clock: Clock,
    private readonly context: StreamTrackerContext,
  ) {}

  /** Records the beginning of a stream at this instance. */
  recordBeginning(request: AdmittedRequest, version: string): void {
    const stream = streamKey(request, request.callerRequest.id);
    this.origins.record(stream, version, this.clock.now());
    this.context.record(stream, version);
    this.context.tellBeginning(stream, version);
  }

  /** Records what another instance told of a stream that began. */
  learnBeginning(stream: string, version: string): void {
    this.context.record(stream, version);
    this.learn(stream, version);
  }

  /** Learns which version began a stream. */
  learn(stream: string, version: string): void {
    this.origins.record(stream, version, this.clock.now());
    this.waiters.get(stream)?.forEach(resolve => resolve(version));
    this.waiters.delete(stream);
  }

  /** Returns the version that began a stream, as far as this instance knows. */
  find(stream: string): string | undefined {
    return this.origins.find(stream, this.clock.now());
  }

  /**
   * Returns the version at which a request has to go on with its stream;
   * undefined if that can't be found out, so that it must not be sent anywhere.
   */
  async versionToResume(request: AdmittedRequest): Promise<string | undefined> {
    const {resumedRequestId} = request.callerRequest;
    const stream =
      resumedRequestId === undefined
        ? undefined
        : streamKey(request, resumedRequestId);
    const known = this.findIfNamed(stream);
    if (known !== undefined) {
      return known;
    }
    const told = stream === undefined ? undefined : this.askOthers(stream);
    const areRead = this.context.readRecords();
    const recorded = waitAtMost(areRead, READ_TIMEOUT).then(() =>
      this.findIfNamed(stream),
    );
    const only = waitAtMost(this.isConfirmed(areRead), READ_TIMEOUT).then(
      isConfirmed =>
        isConfirmed === true ? this.onlyVersion(request) : undefined,
    );
    return firstDefined([told ?? Promise.resolve(undefined), recorded, only]);
  }

  private findIfNamed(stream: string | undefined): string | undefined {
    return stream === undefined ? undefined : this.find(stream);
  }

  /**
   * Resolves to whether the list of upstreams is that of a time after this call,
   * and the records are read. A stream that a caller takes up began before, so
   * its upstream has been in such a list: this instance may have been cut off or
   * suspended without knowing it.
   */
  private async isConfirmed(areRead: Promise<boolean>): Promise<boolean> {
    const isListKnown = await this.context.confirmUpstreams();
    return isListKnown && (await areRead);
  }

  /**
   * Returns the version of all upstreams that the request may have been sent to
   * before, if it is the same for as long as a stream can last.
   */
  private onlyVersion({route}: AdmittedRequest): string | undefined {
    const now = this.clock.now();
    const versions = this.upstreamRegistry.versions(now);
    const onlyVersions = route.targets.map(({service}) =>
      versions.only(service, streamLifetime(route), now),
    );
    return new Set(onlyVersions).size === 1 ? onlyVersions[0] : undefined;
  }

  private askOthers(stream: string): Promise<string | undefined> {
    return new Promise(resolve => {
      const waiters = this.waiters.get(stream) ?? new Set();
      this.waiters.set(stream, waiters);
      const finish = (version: string | undefined) => {
        clearTimeout(timer);
        waiters.delete(finish);
        if (waiters.size === 0) {
          this.waiters.delete(stream);
        }
        resolve(version);
      };
      const timer = callAfterReading(QUERY_TIMEOUT, () => finish(undefined));
      waiters.add(finish);
      this.context.ask(stream);
    });
  }
}

/**
 * Resolves with the first value that is not undefined; undefined when there is
 * none.
 */
function firstDefined<T>(
  promises: Promise<T | undefined>[],
): Promise<T | undefined> {
  return new Promise(resolve => {
    const deliver = (value: T | undefined) => {
      if (value !== undefined) {
        resolve(value);
      }
    };
    const all = promises.map(promise => promise.then(deliver));
    void Promise.all(all).then(() => resolve(undefined));
  });
}

/**
 * Returns the key of the stream that a request of the same account began. A
 * caller can't take up what another account began.
 */
function streamKey({account}: AdmittedRequest, requestId: string): string {
  return shortDigest(account?.name ?? '', requestId);
}
