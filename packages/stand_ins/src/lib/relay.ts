/**
 * A TCP relay through which tests disturb the connections between two
 * processes.
 */
import {connect, createServer} from 'node:net';
import {splitAddress} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';
import type {AddressInfo, Server, Socket} from 'node:net';

/** How a relay forwards bytes. */
export enum RelayMode {
  /** Bytes are forwarded at once. */
  Open = 'open',
  /** No bytes are forwarded in either direction; connections stay open. */
  Silent = 'silent',
  /** No bytes are forwarded to the target. */
  SilentToTarget = 'silent-forth',
  /** No bytes are forwarded from the target. */
  SilentFromTarget = 'silent-back',
  /** Bytes are forwarded after a delay. */
  Delayed = 'late',
}

/** Delay of bytes in `RelayMode.Delayed`. */
const FORWARDING_DELAY: Millis = 150;

/** Whether bytes to the target and bytes from it are held back, by mode. */
const HELD_DIRECTIONS: Readonly<
  Record<RelayMode, readonly [boolean, boolean]>
> = {
  [RelayMode.Open]: [false, false],
  [RelayMode.Silent]: [true, true],
  [RelayMode.SilentToTarget]: [true, false],
  [RelayMode.SilentFromTarget]: [false, true],
  [RelayMode.Delayed]: [false, false],
};

/** One of the two sockets of a relayed connection. */
interface RelayedSocket {
  /** Whether its bytes go to the target. */
  isTowardsTarget: boolean;
  /** Address from which the connection comes. */
  source: string;
  /** What is to be forwarded after a delay, oldest first. */
  delayed: Array<() => void>;
  /** The other socket of the connection. */
  counterpart: Socket;
  /** Number of its bytes with which the counterpart is reset. */
  resetAfter?: number;
}

/** Forwards connections to a target address. */
export class Relay {
  /** Number of connections that were opened through it. */
  connectionCount = 0;
  /** Whether new connections are closed at once. */
  private isCut = false;
  private mode = RelayMode.Open;
  /** Modes of connections from single source addresses. */
  private readonly sourceModes = new Map<string, RelayMode>();
  private readonly sockets = new Map<Socket, RelayedSocket>();
  private readonly server: Server;

  constructor(private target: string) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** Starts listening on a free port; returns the address as `ip:port`. */
  start(host: string): Promise<string> {
    return new Promise(resolve => {
      this.server.listen(0, host, () => {
        const {port} = this.server.address() as AddressInfo;
        resolve(`${host}:${port}`);
      });
    });
  }

  /** Sets the address to which new connections are forwarded. */
  setTarget(target: string): void {
    this.target = target;
  }

  /** Sets how bytes are forwarded, also on open connections. */
  setMode(mode: RelayMode): void {
    this.mode = mode;
    this.sourceModes.clear();
    this.applyModes();
  }

  /** Sets how bytes of connections from one source address are forwarded. */
  setSourceMode(source: string, mode: RelayMode): void {
    this.sourceModes.set(source, mode);
    this.applyModes();
  }

  /**
   * Resets all connections, or only those from one source address; new ones are
   * still accepted.
   */
  reset(onlySource?: string): void {
    for (const [socket, {source}] of this.sockets) {
      if (onlySource === undefined || source === onlySource) {
        socket.resetAndDestroy();
      }
    }
  }

  /**
   * Resets the connection that the target knows by a port of the relay, together
   * with the last of some bytes from the target: a socket that reads a reset
   * which comes with bytes takes it for a close.
   */
  resetAfter(relayPort: number, byteCount: number): void {
    for (const [socket, relayed] of this.sockets) {
      if (!relayed.isTowardsTarget && socket.localPort === relayPort) {
        relayed.resetAfter = byteCount;
        this.resetIfDue(socket, relayed);
      }
    }
  }

  /**
   * With true, closes all connections and each new one; with false, forwards
   * new connections again.
   */
  setCut(isCut: boolean): void {
    this.isCut = isCut;
    if (isCut) {
      for (const socket of this.sockets.keys()) {
        socket.destroy();
      }
    }
  }

  /** Stops listening and closes all connections, as a process that is killed. */
  stop(): void {
    this.server.close();
    this.setCut(true);
  }

  private accept(socket: Socket): void {
    if (this.isCut) {
      socket.destroy();
      return;
    }
    this.connectionCount += 1;
    const targetSocket = connect(splitAddress(this.target));
    const sourceAddress = socket.remoteAddress ?? '';
    for (const [source, destination, isTowardsTarget] of [
      [socket, targetSocket, true],
      [targetSocket, socket, false],
    ] as const) {
      const relayed: RelayedSocket = {
        isTowardsTarget,
        source: sourceAddress,
        delayed: [],
        counterpart: destination,
      };
      this.sockets.set(source, relayed);
      source.on('error', () => destination.destroy());
      source.on('close', () => {
        this.sockets.delete(source);
        // After the delayed bytes, as the end of a connection is never ahead.
        this.runWithDelay(relayed, () => destination.destroy());
      });
      source.on('data', bytes =>
        this.runWithDelay(relayed, () => this.forward(source, relayed, bytes)),
      );
      source.on('end', () =>
        this.runWithDelay(relayed, () => destination.end()),
      );
      this.applyMode(source, relayed);
    }
  }

  /** Forwards bytes; reads no more while the destination takes no more. */
  private forward(source: Socket, relayed: RelayedSocket, bytes: Buffer): void {
    const {counterpart} = relayed;
    if (!counterpart.write(bytes)) {
      source.pause();
      counterpart.once('drain', () => this.applyMode(source, relayed));
    }
    this.resetIfDue(source, relayed);
  }

  private resetIfDue(
    source: Socket,
    {counterpart, resetAfter, delayed}: RelayedSocket,
  ): void {
    const hasForwarded = delayed.length === 0;
    if (hasForwarded && source.bytesRead >= (resetAfter ?? Infinity)) {
      counterpart.resetAndDestroy();
    }
  }

  private applyModes(): void {
    for (const [socket, relayed] of this.sockets) {
      this.applyMode(socket, relayed);
    }
  }

  /** Stops or resumes reading from a socket, as its mode requires. */
  private applyMode(socket: Socket, relayed: RelayedSocket): void {
    const directions = HELD_DIRECTIONS[this.modeOf(relayed)];
    const isHeld = directions[relayed.isTowardsTarget ? 0 : 1];
    if (isHeld) {
      socket.pause();
    } else {
      socket.resume();
    }
  }

  private modeOf({source}: RelayedSocket): RelayMode {
    return this.sourceModes.get(source) ?? this.mode;
  }

  /**
   * Runs an action at once, or after the delay in `RelayMode.Delayed`; in any case
   * after earlier ones of the same socket.
   */
  private runWithDelay(relayed: RelayedSocket, action: () => void): void {
    const {delayed} = relayed;
    if (this.modeOf(relayed) === RelayMode.Delayed || delayed.length > 0) {
      delayed.push(action);
      setTimeout(() => delayed.shift()?.(), FORWARDING_DELAY);
    } else {
      action();
    }
  }
}
