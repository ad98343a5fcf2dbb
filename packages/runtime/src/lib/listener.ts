/** An HTTP listener with bounds on what it reads. */
import {createServer} from 'node:http';
import {splitAddress} from './http.js';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Millis} from '@citrontrestle/decisions';

/** Handles one request. */
export type Handler = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
) => Promise<void> | void;

/** Largest request header block, in bytes. */
const MOST_HEADER_BYTES = 16 * 1024;

/** Interval in which idle connections are closed while draining. */
const SWEEP_INTERVAL: Millis = 50;

/** Lets a server listen on an address given as `ip:port`. */
export function listenAt(
  server: Server,
  address: string,
  backlog?: number,
): Promise<void> {
  const options = {...splitAddress(address), backlog};
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options, resolve);
  });
}

/** An HTTP listener on one address. */
export class Listener {
  private readonly server: Server;

  constructor(handler: Handler) {
    this.server = createServer(
      {maxHeaderSize: MOST_HEADER_BYTES, keepAliveTimeout: 30_000},
      (incoming, outgoing) => {
        void Promise.resolve(handler(incoming, outgoing)).catch(() => {
          outgoing.destroy();
        });
      },
    );
  }

  /** Starts to listen; port 0 takes any. Returns the address as `ip:port`. */
  listen(host: string, port: number): Promise<string> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        const bound = this.server.address() as AddressInfo;
        resolve(`${host}:${bound.port}`);
      });
    });
  }

  /** Takes no new connection and waits for requests that run. */
  drain(): Promise<void> {
    return new Promise(resolve => {
      // Connections turn idle one by one as their requests end.
      const sweep = setInterval(() => {
        this.server.closeIdleConnections();
      }, SWEEP_INTERVAL);
      this.server.close(() => {
        clearInterval(sweep);
        resolve();
      });
      this.server.closeIdleConnections();
    });
  }

  /** Ends at once. */
  stop(): Promise<void> {
    const done = this.drain();
    this.server.closeAllConnections();
    return done;
  }
}

/** Sends a JSON answer. */
export function sendJson(
  outgoing: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  const body = JSON.stringify(value);
  outgoing.writeHead(status, {'content-type': 'application/json', ...headers});
  outgoing.end(body);
}
