/** Tells the load balancer whether the instance accepts new connections. */
import {createServer} from 'node:http';
import {listenAt} from '@citrontrestle/runtime';
import type {Server} from 'node:http';

/** Responds with 200 while the instance is ready, and with 503 otherwise. */
export class ReadyServer {
  private readonly server: Server;

  constructor(isReady: () => boolean) {
    this.server = createServer((_incoming, response) => {
      const status = isReady() ? 200 : 503;
      response.writeHead(status, {'Content-Length': 0});
      response.end();
    });
  }

  /** Listens on `ip:port`; rejects if that is not possible. */
  listen(address: string): Promise<void> {
    return listenAt(this.server, address);
  }
}
