/** Checks whether anything listens at an address. */
import {connect} from 'node:net';
import {splitAddress} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';

/** Maximum time to wait for a connection. */
const CHECK_TIMEOUT: Millis = 300;

/**
 * Resolves to true if connections to an address (`ip:port`) are refused, so that
 * no process listens there. Silence proves nothing: the network may be at fault.
 */
export function isRefusing(address: string): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(splitAddress(address));
    const finish = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.setTimeout(CHECK_TIMEOUT, () => finish(false));
    socket.once('connect', () => finish(false));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED'),
    );
  });
}
