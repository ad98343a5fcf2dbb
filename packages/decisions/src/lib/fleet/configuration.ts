/**
 * The operators' declarations of accounts, budgets and work classes, and the
 * generation that is in force.
 */
import type {Millis} from '../base/clock.js';
import type {UpstreamKind} from '../placement/routing.js';

/** A client account as declared by the operators. */
export interface ClientAccount {
  name: string;
  /** Hex SHA-256 digests of its API keys. */
  keyDigests: string[];
  /** Name of the budget that its requests are charged to. */
  budget: string;
  /** Names of the work classes that it may use. */
  classes: string[];
}

/** A budget as declared by the operators; top-ups add to it later. */
export interface Budget {
  name: string;
  /** Tokens granted when the budget is first declared. */
  initialTokens: number;
}

/** A class of requests with its price and its target latencies. */
export interface WorkClass {
  name: string;
  kind: UpstreamKind;
  /** Whether a request may be executed more than once. */
  idempotent: boolean;
  /** Path of the call to a plain service; empty for model engines. */
  path: string;
  /**
   * Price of one call in tokens. For model engines, the maximum number of
   * output tokens of one call; its prompt is charged in addition.
   */
  priceTokens: number;
  /** Target for the time to the first token; 0 if there is none. */
  firstTokenMs: Millis;
  /** Target for the time to the end of the answer. */
  wholeMs: Millis;
  /** From 0 to 100; requests of higher importance are admitted first. */
  importance: number;
}

/** All declarations of one deployment. */
export interface Declarations {
  accounts: ClientAccount[];
  budgets: Budget[];
  classes: WorkClass[];
}

/** The stored reference to the configuration in force. */
export interface ConfigurationHead {
  /** Number of the configuration; each change has a higher one. */
  generation: number;
  /** Identifies the apply operation that put the configuration in force. */
  applyId: string;
  /** Digest of the declarations, under which they are stored. */
  digest: string;
  /** Identifiers of the latest apply operations, this one included. */
  recent: string[];
}

/** Declarations and the head that refers to them. */
export interface Configuration {
  head: ConfigurationHead;
  declarations: Declarations;
}

/** The newest configuration seen; an older one never replaces it. */
export class CurrentConfiguration {
  private current: Configuration | undefined;

  /** Returns the configuration in force; undefined before the first. */
  get(): Configuration | undefined {
    return this.current;
  }

  /** Returns the generation in force; 0 before the first. */
  generation(): number {
    return this.current?.head.generation ?? 0;
  }

  /** Stores a configuration if it is newer; returns whether it was. */
  acceptIfNewer(configuration: Configuration): boolean {
    if (configuration.head.generation <= this.generation()) {
      return false;
    }
    this.current = configuration;
    return true;
  }
}
