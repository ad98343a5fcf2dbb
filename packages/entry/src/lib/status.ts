/** What operators see of one entry. */
export interface EntryStatus {
  instance: string;
  holder: string;
  zone: string;
  ready: boolean;
  draining: boolean;
  /** Generation of the configuration in force. */
  generation: number;
  /** Requests that run. */
  running: number;
  /** Requests that wait for a place. */
  waiting: number;
  peers: {holder: string; zone: string}[];
  /** Shares by budget, in tokens. */
  shares: {
    budget: string;
    available: number;
    held: number;
    unsettled: number;
  }[];
  upstreams: {
    id: string;
    zone: string;
    leaving: boolean;
    shunned: boolean;
    inFlight: number;
  }[];
  keyValue: {
    reads: number;
    writes: number;
    watches: number;
    limited: number;
    failing: boolean;
  };
}
