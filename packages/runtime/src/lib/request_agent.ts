/**
 * Keeps HTTP connections to servers whose answers name the request that they
 * belong to. A server may send an answer twice. The second one can be told by
 * its identifier, if no connection carries the same identifier twice.
 */
import {Agent} from 'node:http';
import {Socket} from 'node:net';
import {textHash} from '@citrontrestle/decisions';
import {resetWhenDestroyed} from './connection_reset.js';
import {splitAddress} from './http.js';
import type {AgentOptions} from 'node:http';
import type {Duplex} from 'node:stream';

/**
 * Maximum number of requests over one connection, which bounds what is kept of
 * them.
 */
const MAX_REQUESTS = 512;

/** What a connection had carried when a request was sent over it. */
export interface ConnectionHistory {
  /** Number of requests. */
  requests: number;
  /** Number of refusals by the server. */
  refusals: number;
  /** Whether one of the requests may have had the same identifier. */
  hadRequest: boolean;
}

/**
 * Whether an answer surely belongs to a request: a server may send an earlier
 * answer on the connection again.
 * @param statedId identifier that the answer names, if it names one.
 * @param history what the connection had carried before the request.
 */
export function isOwnAnswer(
  requestId: string,
  statedId: string | string[] | undefined,
  {requests, hadRequest}: ConnectionHistory,
): boolean {
  return statedId === undefined
    ? requests === 0
    : statedId === requestId && !hadRequest;
}

/** What a connection has carried. */
class ConnectionRecord {
  /** Hashes of the identifiers of its requests. */
  readonly requests = new Set<number>();
  refusals = 0;
}

/** What an agent has counted since it was created. */
export interface AgentCounts {
  /** Requests sent over a connection of their own, see `agentFor`. */
  ownConnections: number;
  /** Idle connections that were closed because data arrived. */
  unexpectedData: number;
}

/**
 * An agent whose connections are reset when they are destroyed, so that a server
 * gets nothing more of a request that was cancelled or has failed.
 */
export class ResettingAgent extends Agent {
  override createConnection(
    ...parameters: Parameters<Agent['createConnection']>
  ): ReturnType<Agent['createConnection']> {
    const connection = super.createConnection(...parameters);
    if (connection instanceof Socket) {
      resetWhenDestroyed(connection);
    }
    return connection;
  }
}

/**
 * An HTTP agent that closes an idle connection when data arrives on it, as such
 * data would be taken for the answer to the next request.
 */
export class RequestAgent extends ResettingAgent {
  readonly counts: AgentCounts = {ownConnections: 0, unexpectedData: 0};
  /** Opens a connection for each request. */
  private readonly singleAgent = new ResettingAgent({
    keepAlive: false,
    noDelay: true,
  });
  private readonly records = new WeakMap<Duplex, ConnectionRecord>();
  /** Listeners that destroy an idle connection when data arrives. */
  private readonly dataListeners = new WeakMap<Duplex, () => void>();

  /** @param options those of `node:http`; connections are always kept. */
  constructor(options: Pick<AgentOptions, 'maxFreeSockets' | 'timeout'> = {}) {
    super({...options, keepAlive: true, noDelay: true});
  }

  /**
   * Returns the agent that is to send a request to an address (`ip:port`): one
   * that opens a connection for this request alone if an idle connection to the
   * address may have carried the same identifier, else this one.
   */
  agentFor(address: string, requestId: string): Agent {
    if (!this.mayHaveCarried(address, requestId)) {
      return this;
    }
    this.counts.ownConnections += 1;
    return this.singleAgent;
  }

  /** Whether an idle connection to an address may have carried an identifier. */
  mayHaveCarried(address: string, requestId: string): boolean {
    const hash = textHash(requestId);
    return this.idleConnections(address).some(socket =>
      this.records.get(socket)?.requests.has(hash),
    );
  }

  /** Returns the open idle connections to an address. */
  protected idleConnections(address: string): Duplex[] {
    const sockets = this.freeSockets[this.getName(splitAddress(address))];
    return sockets?.filter(({destroyed}) => !destroyed) ?? [];
  }

  /**
   * Records that a request is sent over a connection. Returns what that had
   * carried before.
   */
  recordSent(connection: Duplex, requestId: string): ConnectionHistory {
    const record = this.recordOf(connection);
    const hash = textHash(requestId);
    const history = {
      requests: record.requests.size,
      refusals: record.refusals,
      hadRequest: record.requests.has(hash),
    };
    record.requests.add(hash);
    return history;
  }

  /** Records that the server refused a request over a connection. */
  recordRefusal(connection: Duplex): void {
    this.recordOf(connection).refusals += 1;
  }

  override destroy(): void {
    super.destroy();
    this.singleAgent.destroy();
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // Returns false if the connection must not be kept; the types omit this.
    const keepSocketAlive = super.keepSocketAlive as unknown as (
      socket: Duplex,
    ) => boolean | undefined;
    const isKept =
      this.recordOf(socket).requests.size < MAX_REQUESTS &&
      keepSocketAlive.call(this, socket) !== false;
    if (!isKept || socket.readableLength > 0) {
      return false;
    }
    const destroySocket = () => {
      this.counts.unexpectedData += 1;
      socket.destroy();
    };
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

  private recordOf(connection: Duplex): ConnectionRecord {
    const record = this.records.get(connection) ?? new ConnectionRecord();
    this.records.set(connection, record);
    return record;
  }
}
