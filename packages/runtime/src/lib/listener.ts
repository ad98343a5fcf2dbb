/** HTTP listener with limits on what it reads. */
import {createServer} from 'node:http';
import {splitAddress} from './http.js';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Millis} from '@citrontrestle/decisions';

/** Handles a request; the connection is closed if its promise rejects. */
export type HttpHandler = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
) => Promise<void> | void;

/** Maximum total size of the headers of a request, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;

/** Interval at which idle connections are closed while draining. */
const IDLE_CLOSE_INTERVAL: Millis = 50;

/** Makes a server listen on `ip:port`; rejects if the address is in use. */
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
export class HttpListener {
  private readonly server: Server;

  constructor(handler: HttpHandler) {
    this.server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: 30_000},
      (incoming, outgoing) => {
        void Promise.resolve(handler(incoming, outgoing)).catch(() => {
          outgoing.destroy();
        });
      },
    );
  }

  /** Starts to listen; port 0 picks a free one. Resolves to `ip:port`. */
  listen(host: string, port: number): Promise<string> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        const boundAddress = this.server.address() as AddressInfo;
        resolve(`${host}:${boundAddress.port}`);
      });
    });
  }

  /** Accepts no new connections; resolves when all requests have ended. */
  drain(): Promise<void> {
    return new Promise(resolve => {
      // Keep-alive connections become idle one by one as their requests end.
      const timer = setInterval(() => {
        this.server.closeIdleConnections();
      }, IDLE_CLOSE_INTERVAL);
      this.server.close(() => {
        clearInterval(timer);
        resolve();
      });
      this.server.closeIdleConnections();
    });
  }

  /** Closes all connections at once, including those with running requests. */
  stop(): Promise<void> {
    const drained = this.drain();
    this.server.closeAllConnections();
    return drained;
  }
}

/** Sends a value as a JSON response. */
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
