/**
 * Tells whether the other end reset a connection. The runtime reports a reset
 * that arrives together with the last bytes as an ordinary end, so that a body
 * which only the end of its connection delimits looks whole.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** A list of transfer codings whose last one has the body in chunks. */
const ENDS_WITH_CHUNKS = /(^|,)\s*chunked\s*$/i;

const observedSockets = new WeakSet<Socket>();
const resetSockets = new WeakSet<Socket>();

/** Connections of responses, which lose them when they end. */
const responseSockets = new WeakMap<IncomingMessage, Socket>();

/** Observes the end of the connection that a request gets, for `isCutOff`. */
export function observeConnectionEnd(request: ClientRequest): void {
  request.on('socket', observeEnd);
  request.on('response', response => {
    responseSockets.set(response, response.socket);
  });
}

/**
 * Whether a response whose body has ended was cut off by a reset. Lengths and
 * chunks tell for themselves whether a body is whole.
 */
export function isCutOff(response: IncomingMessage): boolean {
  const socket = responseSockets.get(response);
  return (
    socket !== undefined &&
    isDelimitedByClose(response) &&
    (resetSockets.has(socket) || socket.errored !== null)
  );
}

/**
 * Whether only the end of the connection marks the end of a response's body, as
 * it has neither a length nor chunks. Other transfer codings mark no end.
 */
export function isDelimitedByClose({headers}: IncomingMessage): boolean {
  const codings = headers['transfer-encoding'];
  return codings === undefined
    ? headers['content-length'] === undefined
    : !ENDS_WITH_CHUNKS.test(codings);
}

function observeEnd(socket: Socket): void {
  if (observedSockets.has(socket)) {
    return;
  }
  observedSockets.add(socket);
  // Before the listener of the HTTP library, which ends the response.
  socket.prependOnceListener('end', () => {
    // A connection that was reset has no other end any more. The address must
    // not have been read before, as the runtime keeps it.
    if (socket.remoteAddress === undefined) {
      resetSockets.add(socket);
    }
  });
}
