/**
 * Connections that take back what is under way when they end. One that is closed
 * still delivers all that was written to it, seconds later if a link on the way
 * is full; one that is reset delivers nothing more.
 */
import type {Socket} from 'node:net';

/**
 * Makes a connection reset, and not close, whenever it is destroyed, unless it
 * is not established or is being closed then.
 */
export function resetWhenDestroyed(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (error?: Error) => {
    // Called by the reset, and by whoever destroys the connection again.
    socket.destroy = () => destroy(error);
    return socket.connecting || socket.writableEnded
      ? socket.destroy()
      : socket.resetAndDestroy();
  };
}
