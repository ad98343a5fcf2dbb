/**
 * Store of the platform's stand-in, with a version for each key,
 * compare-and-swap writes, leases and watches.
 */
import type {Clock, Millis} from '@citrontrestle/decisions';

/** A stored value with its version. */
export interface StoredValue {
  /** Number of writes of the key so far, across its removals. */
  version: number;
  value: Buffer;
  /** Lease whose expiry removes the value; undefined for none. */
  lease: string | undefined;
}

/** Called when a key is written or removed, or when its watch times out. */
type Watcher = () => void;

/**
 * An in-memory key-value store. Each read and write first removes expired keys.
 */
export class KeyValueStore {
  private readonly values = new Map<string, StoredValue>();
  /** Last version of each key, which is kept when the key is removed. */
  private readonly lastVersions = new Map<string, number>();
  private readonly watchers = new Map<string, Set<Watcher>>();
  private readonly leases = new Map<
    string,
    {expiresAt: Millis; duration: Millis}
  >();

  constructor(private readonly clock: Clock) {}

  /** Returns the value of a key; undefined if the key is missing. */
  get(key: string): StoredValue | undefined {
    this.removeExpired();
    return this.values.get(key);
  }

  /**
   * Writes a key if its version is `expectedVersion`, where 0 stands for a
   * missing key. Returns the stored value; undefined if the version differs.
   */
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
    // Versions never repeat, even if a key is removed and created again.
    const version = (this.lastVersions.get(key) ?? 0) + 1;
    const stored = {version, value, lease};
    this.lastVersions.set(key, version);
    this.values.set(key, stored);
    this.notifyWatchers(key);
    return stored;
  }

  /**
   * Waits until a key has a version above `after`, at most `maxWait`. Returns
   * its value; undefined if the key has no such version after the wait, or if
   * it was removed during the wait.
   */
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

  /** Creates or renews a lease, which expires after `duration`. */
  renewLease(id: string, duration: Millis): void {
    this.leases.set(id, {expiresAt: this.clock.now() + duration, duration});
  }

  private notifyWatchers(key: string): void {
    for (const watcher of [...(this.watchers.get(key) ?? [])]) {
      watcher();
    }
  }

  /** Removes the expired leases and the keys that depend on them. */
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
