/** HTTP listener for operators: `GET /health` and `GET /status`. */
import {
  HttpListener,
  secretsEqual,
  sendJson,
  splitAddress,
} from '@citrontrestle/runtime';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {EntryStatus} from './status.js';

/** Serves the status of the entry to operators and to the load balancer. */
export class OperatorListener {
  private readonly listener = new HttpListener((incoming, outgoing) =>
    this.serve(incoming, outgoing),
  );

  /** @param token bearer token that operators must send for `/status`. */
  constructor(
    private readonly token: string,
    private readonly status: () => EntryStatus,
  ) {}

  /** Starts to listen at `ip:port`; resolves to the bound address. */
  start(address: string): Promise<string> {
    const {host, port} = splitAddress(address);
    return this.listener.listen(host, port);
  }

  /** Closes the listener and all connections at once. */
  stop(): Promise<void> {
    return this.listener.stop();
  }

  private serve(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const status = this.status();
    if (incoming.url === '/health') {
      // The load balancer has no token, so it gets no details either.
      sendJson(outgoing, status.ready ? 200 : 503, {ready: status.ready});
      return;
    }
    const presentedToken = (incoming.headers.authorization ?? '').replace(
      /^Bearer /,
      '',
    );
    if (!secretsEqual(presentedToken, this.token)) {
      sendJson(outgoing, 401, {error: 'unknown operator token'});
    } else if (incoming.url === '/status') {
      sendJson(outgoing, 200, status);
    } else {
      sendJson(outgoing, 404, {error: 'no such path'});
    }
  }
}
