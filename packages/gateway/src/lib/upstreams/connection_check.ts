/** Checks whether anything listens at an address. */
import {connect} from 'node:net';
import {callAfterReading, splitAddress} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';

/** Result of trying to connect to an address. */
export enum ConnectionCheck {
  /** Established, though it may have been reset at once. */
  Accepted = 'accepted',
  /** Refused, so that no process listens there or the network refuses it. */
  Refused = 'refused',
  /** Not established in time; the network or the own link may be at fault. */
  TimedOut = 'timed-out',
  /** No connection for another reason; the network may be at fault. */
  Failed = 'failed',
}

/** Default maximum time to wait for a connection. */
const CHECK_TIMEOUT: Millis = 300;

/** Tries to connect to an address (`ip:port`), and disconnects. */
export function checkConnection(
  address: string,
  timeout: Millis = CHECK_TIMEOUT,
): Promise<ConnectionCheck> {
  const {Accepted, Failed, TimedOut} = ConnectionCheck;
  return new Promise(resolve => {
    const socket = connect(splitAddress(address));
    const timer = callAfterReading(timeout, () => finish(TimedOut));
    const finish = (result: ConnectionCheck) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => finish(Accepted));
    socket.once('error', ({code = ''}: NodeJS.ErrnoException) =>
      finish(RESULTS_BY_ERROR[code] ?? Failed),
    );
  });
}

/** What the errors of a connection tell. */
const RESULTS_BY_ERROR: Readonly<Partial<Record<string, ConnectionCheck>>> = {
  ECONNREFUSED: ConnectionCheck.Refused,
  // Only an established connection can be reset, as by a process with too many.
  ECONNRESET: ConnectionCheck.Accepted,
};
