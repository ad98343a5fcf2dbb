/** HTTP listener with limits on what it reads. */
import {createServer} from 'node:http';
import {splitAddress} from './http.js';
import {sleep} from './timing.js';
import type {
  IncomingMessage,
  ServerResponse,
  Server as HttpServer,
} from 'node:http';
import type {AddressInfo, Server} from 'node:net';
import type {Log} from './log.js';
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

/** Interval at which an address is tried again that could not be listened on. */
const LISTEN_RETRY_INTERVAL: Millis = 200;

/** Makes a server listen on `ip:port`; rejects if the address is in use. */
export function listenAt(
  server: Server,
  address: string,
  backlog?: number,
): Promise<void> {
  const options = {...splitAddress(address), backlog};
  return new Promise((resolve, reject) => {
    const onListening = () => {
      server.off('error', onError);
      resolve();
    };
    const onError = (error: Error) => {
      server.off('listening', onListening);
      reject(error);
    };
    server.once('listening', onListening);
    server.once('error', onError);
    server.listen(options);
  });
}

/**
 * Makes a server listen on `ip:port`, and tries again for as long as that fails,
 * as a process that is about to end may still use the address. Resolves when the
 * server listens. Later errors, as of connections that can't be accepted, are
 * logged.
 */
export async function listenPersistently(
  server: Server,
  address: string,
  log: Log,
  backlog?: number,
): Promise<void> {
  const logError = (error: unknown) => {
    const reason = error instanceof Error ? error.message : String(error);
    log.warn('listen.failed', {address, reason});
  };
  for (let failures = 0; ; failures++) {
    try {
      await listenAt(server, address, backlog);
      server.on('error', logError);
      if (failures > 0) {
        log.info('listen.regained', {address, failures});
      }
      return;
    } catch (error) {
      if (failures === 0) {
        logError(error);
      }
      await sleep(LISTEN_RETRY_INTERVAL);
    }
  }
}

/** An HTTP listener on one address. */
export class HttpListener {
  private readonly server: HttpServer;

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
