/** The listener towards operators: `GET /health` and `GET /status`. */
import {
  HttpListener,
  secretsEqual,
  sendJson,
  splitAddress,
} from '@citrontrestle/runtime';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {EntryStatus} from './status.js';

/** The listener towards operators. */
export class OperatorListener {
  private readonly listener = new HttpListener((incoming, outgoing) =>
    this.serve(incoming, outgoing),
  );

  constructor(
    private readonly token: string,
    private readonly status: () => EntryStatus,
  ) {}

  /** Starts to listen at `ip:port`; returns the address. */
  start(address: string): Promise<string> {
    const {host, port} = splitAddress(address);
    return this.listener.listen(host, port);
  }

  /** Ends at once. */
  stop(): Promise<void> {
    return this.listener.stop();
  }

  private serve(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const status = this.status();
    if (incoming.url === '/health') {
      // For the platform's balancer, so without the token and the details.
      sendJson(outgoing, status.ready ? 200 : 503, {ready: status.ready});
      return;
    }
    const sent = (incoming.headers.authorization ?? '').replace(/^Bearer /, '');
    if (!secretsEqual(sent, this.token)) {
      sendJson(outgoing, 401, {error: 'unknown operator token'});
    } else if (incoming.url === '/status') {
      sendJson(outgoing, 200, status);
    } else {
      sendJson(outgoing, 404, {error: 'no such path'});
    }
  }
}
