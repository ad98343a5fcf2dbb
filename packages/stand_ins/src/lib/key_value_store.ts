/** The stand-in's store: versions, compare-and-swap, leases and watches. */
import type {Clock, Millis} from '@citrontrestle/decisions';

/** A stored value. */
export interface StoredValue {
  version: number;
  value: Buffer;
  lease: string | undefined;
}

type Watcher = () => void;

/** An in-memory key-value store. */
export class KeyValueStore {
  private readonly values = new Map<string, StoredValue>();
  private readonly lastVersions = new Map<string, number>();
  private readonly watchers = new Map<string, Set<Watcher>>();
  private readonly leases = new Map<
    string,
    {expiresAt: Millis; duration: Millis}
  >();

  constructor(private readonly clock: Clock) {}

  /** Reads a key. */
  get(key: string): StoredValue | undefined {
    this.removeExpired();
    return this.values.get(key);
  }

  /** Writes if the version matches; 0 stands for "absent". */
  put(
    key: string,
    expectedVersion: number,
    value: Buffer,
    lease?: string,
  ): StoredValue | undefined {
    this.removeExpired();
    const currentVersion = this.values.get(key)?.version ?? 0;
    if (currentVersion !== expectedVersion) {
      return undefined;
    }
    // Versions never repeat, also when a key is removed and made again.
    const version = (this.lastVersions.get(key) ?? 0) + 1;
    const stored = {version, value, lease};
    this.lastVersions.set(key, version);
    this.values.set(key, stored);
    this.notifyWatchers(key);
    return stored;
  }

  /** Waits for a version above `after`, at most `wait` milliseconds. */
  watch(
    key: string,
    after: number,
    maxWait: Millis,
  ): Promise<StoredValue | undefined> {
    const readNewer = () => {
      const stored = this.get(key);
      return stored !== undefined && stored.version > after
        ? stored
        : undefined;
    };
    const newerValue = readNewer();
    if (newerValue !== undefined) {
      return Promise.resolve(newerValue);
    }
    return new Promise(resolve => {
      const keyWatchers = this.watchers.get(key) ?? new Set();
      this.watchers.set(key, keyWatchers);
      const finish = () => {
        clearTimeout(timer);
        keyWatchers.delete(finish);
        resolve(readNewer());
      };
      const timer = setTimeout(finish, maxWait);
      keyWatchers.add(finish);
    });
  }

  /** Makes or renews a lease. */
  renewLease(id: string, duration: Millis): void {
    this.leases.set(id, {expiresAt: this.clock.now() + duration, duration});
  }

  private notifyWatchers(key: string): void {
    for (const watcher of [...(this.watchers.get(key) ?? [])]) {
      watcher();
    }
  }

  private removeExpired(): void {
    const now = this.clock.now();
    for (const [id, lease] of this.leases) {
      if (now < lease.expiresAt) {
        continue;
      }
      this.leases.delete(id);
      for (const [key, stored] of this.values) {
        if (stored.lease === id) {
          this.values.delete(key);
          this.notifyWatchers(key);
        }
      }
    }
  }
}
