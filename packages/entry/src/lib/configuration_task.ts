/** Follows the configuration: the key-value service, or else a peer. */
import {ConfigurationHolder} from '@citrontrestle/decisions';
import {CONFIGURATION_HEAD_KEY, KeyValueOutcome} from '@citrontrestle/platform';
import {readDeclarationsOf} from '@citrontrestle/operator';
import {z} from 'zod';
import type {
  Configuration,
  ConfigurationHead,
  Millis,
} from '@citrontrestle/decisions';
import type {KeyValueClient} from '@citrontrestle/platform';
import type {Log} from '@citrontrestle/runtime';

/** Wait after a failed watch. */
const WATCH_RETRY_DELAY: Millis = 500;

/** What comes from a peer that has proved the fleet key. */
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

/** Follows the configuration in force. */
export class ConfigurationTask {
  private readonly configurationHolder = new ConfigurationHolder();
  private readonly stopController = new AbortController();
  /** Version of the head last read. */
  private headVersion = 0;

  constructor(
    private readonly keyValue: KeyValueClient,
    private readonly log: Log,
    private readonly onChange: (configuration: Configuration) => void,
  ) {}

  /** The configuration in force, if any was seen. */
  get(): Configuration | undefined {
    return this.configurationHolder.get();
  }

  /** Generation in force; 0 before the first. */
  generation(): number {
    return this.configurationHolder.generation();
  }

  /** Starts to follow. */
  start(): void {
    void this.watchUntilStopped();
  }

  /** Stops to follow. */
  stop(): void {
    this.stopController.abort();
  }

  /** Takes a configuration from a peer. */
  acceptFromPeer(value: unknown): void {
    const parsed = PEER_CONFIGURATION_SCHEMA.safeParse(value);
    if (parsed.success) {
      this.acceptIfNewer(value as Configuration);
    }
  }

  private acceptIfNewer(configuration: Configuration): void {
    if (!this.configurationHolder.acceptIfNewer(configuration)) {
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

  /** Waits for one change; returns whether to go on at once. */
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
    const configuration = await readDeclarationsOf(this.keyValue, head);
    if (configuration === undefined) {
      return false;
    }
    this.headVersion = result.version;
    this.acceptIfNewer(configuration);
    return true;
  }
}
