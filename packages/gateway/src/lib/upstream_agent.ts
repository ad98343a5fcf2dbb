/** Kept connections to upstreams. */
import {Agent} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';
import type {Duplex} from 'node:stream';

/** Longest time that a connection is kept idle. */
const IDLE_TIMEOUT: Millis = 4_000;

/** Most idle connections to one upstream. */
const MOST_IDLE = 16;

/**
 * An agent that closes an idle connection on which bytes arrive: they are no
 * answer to the next request.
 */
export class UpstreamAgent extends Agent {
  private readonly guards = new WeakMap<Duplex, () => void>();

  constructor() {
    super({
      keepAlive: true,
      maxFreeSockets: MOST_IDLE,
      timeout: IDLE_TIMEOUT,
      noDelay: true,
    });
  }

  override keepSocketAlive(socket: Duplex): boolean {
    const parent = super.keepSocketAlive as unknown as (
      socket: Duplex,
    ) => boolean | undefined;
    const kept = parent.call(this, socket) !== false;
    if (!kept || socket.readableLength > 0) {
      return false;
    }
    const guard = () => socket.destroy();
    this.guards.set(socket, guard);
    socket.on('data', guard);
    return true;
  }

  override reuseSocket(
    socket: Duplex,
    request: Parameters<Agent['reuseSocket']>[1],
  ): void {
    const guard = this.guards.get(socket);
    if (guard !== undefined) {
      socket.off('data', guard);
      this.guards.delete(socket);
    }
    super.reuseSocket(socket, request);
  }
}
