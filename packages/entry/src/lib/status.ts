/** Status of one entry, as sent to operators. */
export interface EntryStatus {
  instance: string;
  /** Id of this run of the entry. */
  holder: string;
  zone: string;
  /** Whether it serves requests. */
  ready: boolean;
  /** Whether it finishes its running requests before it stops. */
  draining: boolean;
  /** Generation of the configuration in force. */
  generation: number;
  /** Number of requests in progress, including those that wait for a slot. */
  running: number;
  /** Number of chat requests that wait for a slot. */
  waiting: number;
  /** Live peers. */
  peers: {holder: string; zone: string}[];
  /** Shares of budgets that this entry holds, in tokens. */
  shares: {
    budget: string;
    available: number;
    /** Reserved for requests that run or whose outcome is unknown. */
    held: number;
    /** Charged, but not yet in the ledger. */
    unsettled: number;
  }[];
  upstreams: {
    id: string;
    zone: string;
    leaving: boolean;
    /** Whether it gets no requests for now because of failures. */
    shunned: boolean;
    /** Requests of this entry in flight there. */
    inFlight: number;
  }[];
  /** Numbers of calls to the key-value service since the start. */
  keyValue: {
    reads: number;
    writes: number;
    watches: number;
    /** Calls not made because of the rate limit. */
    limited: number;
    /** Whether the last call of the wallet failed. */
    failing: boolean;
  };
}
