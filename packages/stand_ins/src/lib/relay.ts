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
  SilentToTarget = 'silent-forth',
  /** Bytes from the target stay where they are. */
  SilentFromTarget = 'silent-back',
  /** Bytes are late. */
  Delayed = 'late',
}

/** Delay of late bytes. */
const FORWARDING_DELAY: Millis = 150;

/** Directions whose bytes are held back, by mode: forth, back. */
const HELD_DIRECTIONS: Readonly<
  Record<RelayMode, readonly [boolean, boolean]>
> = {
  [RelayMode.Open]: [false, false],
  [RelayMode.Silent]: [true, true],
  [RelayMode.SilentToTarget]: [true, false],
  [RelayMode.SilentFromTarget]: [false, true],
  [RelayMode.Delayed]: [false, false],
};

/** Forwards connections to a target until it is cut. */
export class Relay {
  private isCut = false;
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
  setTarget(target: string): void {
    this.target = target;
  }

  /** Sets how bytes are treated, on open connections too. */
  setMode(mode: RelayMode): void {
    this.mode = mode;
    for (const [socket, isTowardsTarget] of this.sockets) {
      this.applyMode(socket, isTowardsTarget);
    }
  }

  /** Resets all connections; new ones are taken. */
  reset(): void {
    for (const socket of this.sockets.keys()) {
      socket.resetAndDestroy();
    }
  }

  /** Cuts all connections and takes no new ones, or takes them again. */
  setCut(isCut: boolean): void {
    this.isCut = isCut;
    if (isCut) {
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
    if (this.isCut) {
      socket.destroy();
      return;
    }
    const targetSocket = connect(splitAddress(this.target));
    for (const [source, destination, isTowardsTarget] of [
      [socket, targetSocket, true],
      [targetSocket, socket, false],
    ] as const) {
      this.sockets.set(source, isTowardsTarget);
      source.on('error', () => destination.destroy());
      source.on('close', () => {
        this.sockets.delete(source);
        destination.destroy();
      });
      source.on('data', bytes => this.forwardBytes(bytes, destination));
      source.on('end', () => this.runWithDelay(() => destination.end()));
      this.applyMode(source, isTowardsTarget);
    }
  }

  private applyMode(socket: Socket, isTowardsTarget: boolean): void {
    const isHeld = HELD_DIRECTIONS[this.mode][isTowardsTarget ? 0 : 1];
    if (isHeld) {
      socket.pause();
    } else {
      socket.resume();
    }
  }

  private forwardBytes(bytes: Buffer, destination: Socket): void {
    this.runWithDelay(() => destination.write(bytes));
  }

  private runWithDelay(action: () => void): void {
    if (this.mode === RelayMode.Delayed) {
      setTimeout(action, FORWARDING_DELAY);
    } else {
      action();
    }
  }
}
