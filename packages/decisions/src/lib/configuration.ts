/** The configuration in force: declarations, digested and numbered. */
import type {Millis} from './clock.js';
import type {UpstreamKind} from './routing.js';

/** A client account as declared. */
export interface ClientAccount {
  name: string;
  /** Hex SHA-256 digests of its API keys. */
  keyDigests: string[];
  budget: string;
  /** Names of the classes it may use. */
  classes: string[];
}

/** A budget as declared; later grants come by top-up. */
export interface Budget {
  name: string;
  /** Tokens granted when the budget is first declared. */
  initialTokens: number;
}

/** A class of work with its targets. */
export interface WorkClass {
  name: string;
  kind: UpstreamKind;
  /** Whether a request may be run again. */
  idempotent: boolean;
  /** Path of the plain service's call; empty for engines. */
  path: string;
  /** Price of one call in tokens; for engines, the most prompt and output. */
  priceTokens: number;
  /** Target for the first token, 0 when there is none. */
  firstTokenMs: Millis;
  /** Target for the whole answer. */
  wholeMs: Millis;
  /** Higher goes first when there is too little for all. */
  importance: number;
}

/** All declarations of one deployment. */
export interface Declarations {
  accounts: ClientAccount[];
  budgets: Budget[];
  classes: WorkClass[];
}

/** The pointer to the configuration in force. */
export interface ConfigurationHead {
  generation: number;
  /** Identifies the apply that moved the head. */
  applyId: string;
  /** Digest of the declarations. */
  digest: string;
  /** Identifiers of the latest applies, this one included. */
  recent: string[];
}

/** A configuration with its generation. */
export interface Configuration {
  head: ConfigurationHead;
  declarations: Declarations;
}

/** Holds the newest configuration seen; it never goes back. */
export class ConfigurationHolder {
  private current: Configuration | undefined;

  /** The configuration in force, if any was seen. */
  get(): Configuration | undefined {
    return this.current;
  }

  /** Generation in force; 0 before the first. */
  generation(): number {
    return this.current?.head.generation ?? 0;
  }

  /** Takes a configuration if it is newer; returns whether it was. */
  offer(configuration: Configuration): boolean {
    if (configuration.head.generation <= this.generation()) {
      return false;
    }
    this.current = configuration;
    return true;
  }
}
