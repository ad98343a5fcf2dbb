/**
 * Stub of `RequestAgent.agentFor`, with the same methods. To be replaced by
 * `RequestAgent` itself once that has the method.
 */
import {Agent} from 'node:http';
import {RequestAgent, splitAddress} from '@citrontrestle/runtime';
import type {ConnectionHistory} from '@citrontrestle/runtime';
import type {Duplex} from 'node:stream';

/** Keeps connections so that none carries the same identifier twice. */
export class EngineAgent {
  private readonly keptAgent = new RequestAgent();
  private readonly singleAgent = new Agent({keepAlive: false});
  private readonly sentIds = new WeakMap<Duplex, Set<string>>();

  /**
   * Returns an agent without kept connections if an idle connection to an
   * address may have carried the identifier, else one that keeps them.
   */
  agentFor(address: string, requestId: string): Agent {
    const name = this.keptAgent.getName(splitAddress(address));
    const idle = this.keptAgent.freeSockets[name] ?? [];
    const isRepeated = idle.some(socket =>
      this.sentIds.get(socket)?.has(requestId),
    );
    return isRepeated ? this.singleAgent : this.keptAgent;
  }

  /** Records a request; returns what its connection had carried before. */
  recordSent(connection: Duplex, requestId: string): ConnectionHistory {
    const ids = this.sentIds.get(connection) ?? new Set();
    this.sentIds.set(connection, ids.add(requestId));
    return this.keptAgent.recordSent(connection, requestId);
  }

  /** Closes all connections. */
  destroy(): void {
    this.keptAgent.destroy();
    this.singleAgent.destroy();
  }
}
