/** A TCP relay between two entries that tests can cut. */
import {connect, createServer} from 'node:net';
import {splitAddress} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';
import type {AddressInfo, Server, Socket} from 'node:net';

/** How a relay treats the bytes that pass it. */
export enum RelayMode {
  Open = 'open',
  /** Bytes stay where they are, both ways; no connection ends. */
  Silent = 'silent',
  /** Bytes towards the target stay where they are. */
  SilentForth = 'silent-forth',
  /** Bytes from the target stay where they are. */
  SilentBack = 'silent-back',
  /** Bytes are late. */
  Late = 'late',
}

/** Delay of late bytes. */
const LATENESS: Millis = 150;

/** Directions whose bytes are held back, by mode: forth, back. */
const HELD: Readonly<Record<RelayMode, readonly [boolean, boolean]>> = {
  [RelayMode.Open]: [false, false],
  [RelayMode.Silent]: [true, true],
  [RelayMode.SilentForth]: [true, false],
  [RelayMode.SilentBack]: [false, true],
  [RelayMode.Late]: [false, false],
};

/** Forwards connections to a target until it is cut. */
export class Relay {
  private cut = false;
  private mode = RelayMode.Open;
  private readonly sockets = new Map<Socket, boolean>();
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

  /** Sets how bytes are treated, on open connections too. */
  setMode(mode: RelayMode): void {
    this.mode = mode;
    for (const [socket, forth] of this.sockets) {
      this.hold(socket, forth);
    }
  }

  /** Resets all connections; new ones are taken. */
  reset(): void {
    for (const socket of this.sockets.keys()) {
      socket.resetAndDestroy();
    }
  }

  /** Cuts all connections and takes no new ones, or takes them again. */
  setCut(cut: boolean): void {
    this.cut = cut;
    if (cut) {
      for (const socket of this.sockets.keys()) {
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
    for (const [one, two, forth] of [
      [socket, other, true],
      [other, socket, false],
    ] as const) {
      this.sockets.set(one, forth);
      one.on('error', () => two.destroy());
      one.on('close', () => {
        this.sockets.delete(one);
        two.destroy();
      });
      one.on('data', bytes => this.pass(bytes, two));
      one.on('end', () => this.later(() => two.end()));
      this.hold(one, forth);
    }
  }

  private hold(socket: Socket, forth: boolean): void {
    const held = HELD[this.mode][forth ? 0 : 1];
    if (held) {
      socket.pause();
    } else {
      socket.resume();
    }
  }

  private pass(bytes: Buffer, to: Socket): void {
    this.later(() => to.write(bytes));
  }

  private later(action: () => void): void {
    if (this.mode === RelayMode.Late) {
      setTimeout(action, LATENESS);
    } else {
      action();
    }
  }
}
