/** A proxy on the channels to one machine, which can hold all bytes back. */
import {connect, createServer} from 'node:net';

/** Forwards connections to an address. */
export class Proxy {
  pairs = new Set();
  /** Tells by the first bytes of a connection whether it is held. */
  isHeld = () => false;

  /** @param target `ip:port` to which connections go. */
  constructor(target) {
    this.target = target;
    this.server = createServer(socket => this.accept(socket));
  }

  async listen(host = '127.0.0.1') {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  /** Holds back all bytes of some open and new connections. */
  hold(isHeld) {
    this.isHeld = isHeld;
    this.pairs.forEach(pair => this.apply(pair));
  }

  /** Forwards the bytes of all connections again. */
  release() {
    this.hold(() => false);
  }

  stop() {
    this.server.close();
    for (const {sockets} of this.pairs) {
      sockets.forEach(socket => socket.destroy());
    }
  }

  accept(socket) {
    const [host, port] = this.target.split(':');
    const other = connect({host, port: Number(port)});
    const pair = {sockets: [socket, other], opening: ''};
    this.pairs.add(pair);
    for (const [source, sink] of [
      [socket, other],
      [other, socket],
    ]) {
      source.on('data', bytes => {
        if (source === socket && pair.opening === '') {
          pair.opening = bytes.toString('latin1');
        }
        sink.write(bytes);
        this.apply(pair);
      });
      source.on('error', () => undefined);
      source.on('close', () => {
        this.pairs.delete(pair);
        sink.destroy();
      });
    }
  }

  apply({sockets, opening}) {
    const isHeld = this.isHeld(opening);
    sockets.forEach(socket => (isHeld ? socket.pause() : socket.resume()));
  }
}
