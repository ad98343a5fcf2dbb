/** A TCP relay between two entries that tests can cut. */
import {connect, createServer} from 'node:net';
import {splitAddress} from '@citrontrestle/runtime';
import type {AddressInfo, Server, Socket} from 'node:net';

/** Forwards connections to a target until it is cut. */
export class Relay {
  private cut = false;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(private target: string) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** Starts to listen; returns the address. */
  start(host: string): Promise<string> {
    return new Promise(resolve => {
      this.server.listen(0, host, () => {
        const {port} = this.server.address() as AddressInfo;
        resolve(`${host}:${port}`);
      });
    });
  }

  /** Sets the address that connections are forwarded to. */
  forward(target: string): void {
    this.target = target;
  }

  /** Cuts all connections and takes no new ones, or takes them again. */
  setCut(cut: boolean): void {
    this.cut = cut;
    if (cut) {
      for (const socket of this.sockets) {
        socket.destroy();
      }
    }
  }

  /** Ends at once. */
  stop(): void {
    this.setCut(true);
    this.server.close();
  }

  private accept(socket: Socket): void {
    if (this.cut) {
      socket.destroy();
      return;
    }
    const other = connect(splitAddress(this.target));
    for (const [one, two] of [
      [socket, other],
      [other, socket],
    ] as const) {
      this.sockets.add(one);
      one.on('error', () => two.destroy());
      one.on('close', () => {
        this.sockets.delete(one);
        two.destroy();
      });
      one.pipe(two);
    }
  }
}
