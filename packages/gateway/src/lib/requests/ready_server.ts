/** Tells the load balancer whether the instance accepts new connections. */
import {createServer} from 'node:http';
import {listenPersistently} from '@citrontrestle/runtime';
import type {Server} from 'node:http';
import type {Log} from '@citrontrestle/runtime';

/** Responds with 200 while the instance is ready, and with 503 otherwise. */
export class ReadyServer {
  private readonly server: Server;

  constructor(
    isReady: () => boolean,
    private readonly log: Log,
  ) {
    this.server = createServer((_incoming, response) => {
      const status = isReady() ? 200 : 503;
      response.writeHead(status, {'Content-Length': 0});
      response.end();
    });
  }

  /** Resolves when it listens on `ip:port`. */
  listen(address: string): Promise<void> {
    return listenPersistently(this.server, address, this.log);
  }
}
