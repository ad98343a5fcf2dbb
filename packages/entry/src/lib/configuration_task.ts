/**
 * Keeps the configuration current: watches the key-value service, and accepts
 * newer configurations from peers, for example while that service is down.
 */
import {CurrentConfiguration} from '@citrontrestle/decisions';
import {CONFIGURATION_HEAD_KEY, KeyValueOutcome} from '@citrontrestle/platform';
import {readConfigurationForHead} from '@citrontrestle/operator';
import {z} from 'zod';
import type {
  Configuration,
  ConfigurationHead,
  Millis,
} from '@citrontrestle/decisions';
import type {KeyValueClient} from '@citrontrestle/platform';
import type {Log} from '@citrontrestle/runtime';

/** Delay after a failed watch of the key-value service. */
const WATCH_RETRY_DELAY: Millis = 500;

/**
 * Shape of a configuration received from a peer. Only the head and the
 * names are checked: the peer has proved that it knows the fleet key.
 */
const PEER_CONFIGURATION_SCHEMA = z.object({
  head: z.object({
    generation: z.number().int().positive(),
    applyId: z.string(),
    digest: z.string(),
    recent: z.array(z.string()),
  }),
  declarations: z.object({
    accounts: z.array(z.looseObject({name: z.string()})),
    budgets: z.array(z.looseObject({name: z.string()})),
    classes: z.array(z.looseObject({name: z.string()})),
  }),
});

/** Keeps the configuration in force current; calls `onChange` for each one. */
export class ConfigurationTask {
  private readonly currentConfiguration = new CurrentConfiguration();
  private readonly stopController = new AbortController();
  /** Version of the last configuration head read; 0 before the first. */
  private headVersion = 0;

  constructor(
    private readonly keyValue: KeyValueClient,
    private readonly log: Log,
    private readonly onChange: (configuration: Configuration) => void,
  ) {}

  /** Returns the configuration in force; undefined before the first. */
  get(): Configuration | undefined {
    return this.currentConfiguration.get();
  }

  /** Returns the generation in force; 0 before the first. */
  generation(): number {
    return this.currentConfiguration.generation();
  }

  /** Starts to watch the key-value service. */
  start(): void {
    void this.watchUntilStopped();
  }

  /** Stops the watch. */
  stop(): void {
    this.stopController.abort();
  }

  /** Accepts a configuration from a peer if it is well formed and newer. */
  acceptFromPeer(value: unknown): void {
    const parsed = PEER_CONFIGURATION_SCHEMA.safeParse(value);
    if (parsed.success) {
      this.acceptIfNewer(value as Configuration);
    }
  }

  private acceptIfNewer(configuration: Configuration): void {
    if (!this.currentConfiguration.acceptIfNewer(configuration)) {
      return;
    }
    const {generation} = configuration.head;
    this.log.info('configuration.in-force', {generation});
    this.onChange(configuration);
  }

  private async watchUntilStopped(): Promise<void> {
    while (!this.stopController.signal.aborted) {
      if (!(await this.waitForChange())) {
        await new Promise(resolve => setTimeout(resolve, WATCH_RETRY_DELAY));
      }
    }
  }

  /**
   * Waits for one change of the configuration. Returns whether to watch again
   * at once; after a failure the caller waits before the next attempt.
   */
  private async waitForChange(): Promise<boolean> {
    const {signal} = this.stopController;
    const result = await this.keyValue.watch(
      CONFIGURATION_HEAD_KEY,
      this.headVersion,
      signal,
    );
    if (result.outcome !== KeyValueOutcome.Found) {
      return result.outcome === KeyValueOutcome.Unchanged;
    }
    const head = result.value as ConfigurationHead;
    const configuration = await readConfigurationForHead(this.keyValue, head);
    if (configuration === undefined) {
      return false;
    }
    this.headVersion = result.version;
    this.acceptIfNewer(configuration);
    return true;
  }
}
