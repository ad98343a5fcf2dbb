/** Kept connections to upstreams. */
import {Agent} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';
import type {Duplex} from 'node:stream';

/** Longest time that a connection is kept idle. */
const IDLE_TIMEOUT: Millis = 4_000;

/** Most idle connections to one upstream. */
const MAX_IDLE_SOCKETS = 16;

/**
 * An agent that closes an idle connection on which bytes arrive: they are no
 * answer to the next request.
 */
export class UpstreamAgent extends Agent {
  private readonly dataListeners = new WeakMap<Duplex, () => void>();

  constructor() {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_SOCKETS,
      timeout: IDLE_TIMEOUT,
      noDelay: true,
    });
  }

  override keepSocketAlive(socket: Duplex): boolean {
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
