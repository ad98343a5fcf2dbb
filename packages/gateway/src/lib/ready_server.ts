/** Tells the balancer whether the instance takes new connections. */
import {createServer} from 'node:http';
import {listenAt} from '@citrontrestle/runtime';
import type {Server} from 'node:http';

/** Answers 200 while the instance is ready, else 503. */
export class ReadyServer {
  private readonly server: Server;

  constructor(isReady: () => boolean) {
    this.server = createServer((_incoming, response) => {
      const status = isReady() ? 200 : 503;
      response.writeHead(status, {'Content-Length': 0});
      response.end();
    });
  }

  /** Starts to listen on `ip:port`. */
  listen(address: string): Promise<void> {
    return listenAt(this.server, address);
  }
}
