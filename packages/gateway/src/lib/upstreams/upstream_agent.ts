/** Pool of keep-alive connections to upstreams. */
import {Agent} from 'node:http';
import {splitAddress} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';
import type {Duplex} from 'node:stream';

/** Maximum time for which an idle connection is kept open. */
const IDLE_TIMEOUT: Millis = 4_000;

/** Maximum number of idle connections to one upstream. */
const MAX_IDLE_SOCKETS = 16;

/**
 * An HTTP agent that closes an idle connection when data arrives on it, as such
 * data would be taken for the response to the next request.
 */
export class UpstreamAgent extends Agent {
  /** Listeners that destroy an idle connection when data arrives. */
  private readonly dataListeners = new WeakMap<Duplex, () => void>();

  constructor() {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_SOCKETS,
      timeout: IDLE_TIMEOUT,
      noDelay: true,
    });
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

  override keepSocketAlive(socket: Duplex): boolean {
    // Returns false if the connection must not be kept; the types omit this.
    const keepSocketAlive = super.keepSocketAlive as unknown as (
      socket: Duplex,
    ) => boolean | undefined;
    const isKept = keepSocketAlive.call(this, socket) !== false;
    if (!isKept || socket.readableLength > 0) {
      return false;
    }
    const destroySocket = () => socket.destroy();
    this.dataListeners.set(socket, destroySocket);
    socket.on('data', destroySocket);
    return true;
  }

  override reuseSocket(
    socket: Duplex,
    request: Parameters<Agent['reuseSocket']>[1],
  ): void {
    const destroySocket = this.dataListeners.get(socket);
    if (destroySocket !== undefined) {
      socket.off('data', destroySocket);
      this.dataListeners.delete(socket);
    }
    super.reuseSocket(socket, request);
  }
}
