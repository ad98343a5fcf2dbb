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
const PAUSE: Millis = 500;

/** What comes from a peer that has proved the fleet key. */
const CONFIGURATION_SCHEMA = z.object({
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
  private readonly holder = new ConfigurationHolder();
  private readonly stopped = new AbortController();
  /** Version of the head last read. */
  private version = 0;

  constructor(
    private readonly keyValue: KeyValueClient,
    private readonly log: Log,
    private readonly changed: (configuration: Configuration) => void,
  ) {}

  /** The configuration in force, if any was seen. */
  get(): Configuration | undefined {
    return this.holder.get();
  }

  /** Generation in force; 0 before the first. */
  generation(): number {
    return this.holder.generation();
  }

  /** Starts to follow. */
  start(): void {
    void this.follow();
  }

  /** Stops to follow. */
  stop(): void {
    this.stopped.abort();
  }

  /** Takes a configuration from a peer. */
  offerUnchecked(value: unknown): void {
    const checked = CONFIGURATION_SCHEMA.safeParse(value);
    if (checked.success) {
      this.offer(value as Configuration);
    }
  }

  private offer(configuration: Configuration): void {
    if (!this.holder.acceptIfNewer(configuration)) {
      return;
    }
    const {generation} = configuration.head;
    this.log.info('configuration.in-force', {generation});
    this.changed(configuration);
  }

  private async follow(): Promise<void> {
    while (!this.stopped.signal.aborted) {
      if (!(await this.step())) {
        await new Promise(resolve => setTimeout(resolve, PAUSE));
      }
    }
  }

  /** Waits for one change; returns whether to go on at once. */
  private async step(): Promise<boolean> {
    const {signal} = this.stopped;
    const result = await this.keyValue.watch(
      CONFIGURATION_HEAD_KEY,
      this.version,
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
    this.version = result.version;
    this.offer(configuration);
    return true;
  }
}
