/** Pool of keep-alive connections to upstreams. */
import {RequestAgent, splitAddress} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';

/** Maximum time for which an idle connection is kept open. */
const IDLE_TIMEOUT: Millis = 4_000;

/** Maximum number of idle connections to one upstream. */
const MAX_IDLE_SOCKETS = 16;

/** The kept connections of one instance to upstreams, or to peers. */
export class UpstreamAgent extends RequestAgent {
  constructor() {
    super({maxFreeSockets: MAX_IDLE_SOCKETS, timeout: IDLE_TIMEOUT});
  }

  /** Whether there is an idle connection to an address (`ip:port`). */
  hasIdleConnection(address: string): boolean {
    const sockets = this.freeSockets[this.getName(splitAddress(address))];
    return sockets?.some(({destroyed}) => !destroyed) === true;
  }

  /** Closes all idle connections. */
  closeIdleConnections(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      sockets?.forEach(socket => socket.destroy());
    }
  }
}
