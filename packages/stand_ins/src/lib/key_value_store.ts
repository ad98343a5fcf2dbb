/** The stand-in's store: versions, compare-and-swap, leases and watches. */
import type {Clock, Millis} from '@citrontrestle/decisions';

/** A stored value. */
export interface Stored {
  version: number;
  value: Buffer;
  lease: string | undefined;
}

type Watcher = () => void;

/** An in-memory key-value store. */
export class KeyValueStore {
  private readonly values = new Map<string, Stored>();
  private readonly versions = new Map<string, number>();
  private readonly watchers = new Map<string, Set<Watcher>>();
  private readonly leases = new Map<string, {until: Millis; ttl: Millis}>();

  constructor(private readonly clock: Clock) {}

  /** Reads a key. */
  get(key: string): Stored | undefined {
    this.expire();
    return this.values.get(key);
  }

  /** Writes if the version matches; 0 stands for "absent". */
  put(
    key: string,
    expected: number,
    value: Buffer,
    lease?: string,
  ): Stored | undefined {
    this.expire();
    const current = this.values.get(key)?.version ?? 0;
    if (current !== expected) {
      return undefined;
    }
    // Versions never repeat, also when a key is removed and made again.
    const version = (this.versions.get(key) ?? 0) + 1;
    const stored = {version, value, lease};
    this.versions.set(key, version);
    this.values.set(key, stored);
    this.wake(key);
    return stored;
  }

  /** Waits for a version above `after`, at most `wait` milliseconds. */
  watch(key: string, after: number, wait: Millis): Promise<Stored | undefined> {
    const newer = () => {
      const stored = this.get(key);
      return stored !== undefined && stored.version > after
        ? stored
        : undefined;
    };
    const found = newer();
    if (found !== undefined) {
      return Promise.resolve(found);
    }
    return new Promise(resolve => {
      const set = this.watchers.get(key) ?? new Set();
      this.watchers.set(key, set);
      const done = () => {
        clearTimeout(timer);
        set.delete(done);
        resolve(newer());
      };
      const timer = setTimeout(done, wait);
      set.add(done);
    });
  }

  /** Makes or renews a lease. */
  lease(id: string, ttl: Millis): void {
    this.leases.set(id, {until: this.clock.now() + ttl, ttl});
  }

  private wake(key: string): void {
    for (const watcher of [...(this.watchers.get(key) ?? [])]) {
      watcher();
    }
  }

  private expire(): void {
    const now = this.clock.now();
    for (const [id, lease] of this.leases) {
      if (now < lease.until) {
        continue;
      }
      this.leases.delete(id);
      for (const [key, stored] of this.values) {
        if (stored.lease === id) {
          this.values.delete(key);
          this.wake(key);
        }
      }
    }
  }
}
