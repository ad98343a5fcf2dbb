/** Pool of keep-alive connections to upstreams. */
import {RequestAgent} from '@citrontrestle/runtime';
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

  /** Whether a request to an address (`ip:port`) needs no new connection. */
  hasConnectionFor(address: string, requestId: string): boolean {
    return (
      this.idleConnections(address).length > 0 &&
      !this.mayHaveCarried(address, requestId)
    );
  }

  /** Closes all idle connections. */
  closeIdleConnections(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      sockets?.forEach(socket => socket.destroy());
    }
  }
}
