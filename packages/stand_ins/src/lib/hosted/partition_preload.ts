/**
 * Loaded into a gateway process of a test before its main module. Partitions the
 * process from some ports as the parent process commands, which a relay cannot
 * do: it accepts each connection before it can end it. Gives all connections
 * the same source address, by which relays tell the gateways apart.
 */
import {Socket} from 'node:net';
import {
  LATE_CONNECTION_TIME,
  NewConnections,
  SOURCE_VARIABLE,
} from './partition.js';
import type {PartitionCommand} from './partition.js';
import type {TcpSocketConnectOpts} from 'node:net';

/** The arguments of `connect` as the `net` module passes them. */
type ConnectArguments = [[TcpSocketConnectOpts, ...unknown[]]];

type ConnectFunction = (
  this: Socket & {connecting: boolean},
  ...args: ConnectArguments
) => Socket;

let command: PartitionCommand = {
  newConnections: NewConnections.Open,
  ports: [],
};

process.on('message', (message: PartitionCommand) => {
  command = message;
});
// The channel to the parent must not keep the process running.
process.channel?.unref();

const prototype = Socket.prototype as unknown as {connect: ConnectFunction};
const originalConnect = prototype.connect;
const localAddress = process.env[SOURCE_VARIABLE];

prototype.connect = function (...args) {
  const [[options]] = args;
  const {newConnections, ports} = command;
  if (newConnections !== NewConnections.Open && ports.includes(options.port)) {
    this.connecting = true;
    if (newConnections === NewConnections.Late) {
      setTimeout(() => {
        if (!this.destroyed) {
          setSource(args);
          originalConnect.apply(this, args);
        }
      }, LATE_CONNECTION_TIME);
    }
    if (newConnections === NewConnections.Refused) {
      const error = new Error('connection refused by the test');
      setImmediate(() =>
        this.destroy(Object.assign(error, {code: 'ECONNREFUSED'})),
      );
    }
    return this;
  }
  setSource(args);
  return originalConnect.apply(this, args);
};

/** Gives a connection the source address of the process, if it has one. */
function setSource([parameters]: ConnectArguments): void {
  // A copy: an agent keeps connections by their options, and finds none that it
  // kept once these differ from those that it asked for.
  if (localAddress !== undefined) {
    parameters[0] = {...parameters[0], localAddress};
  }
}
