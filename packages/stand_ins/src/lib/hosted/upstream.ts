/** Stand-in of the hosted platform's servers: plain work and token streams. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Millis} from '@citrontrestle/decisions';

/** How a server treats the requests that reach it. */
export enum ServerFault {
  None = 'none',
  /** Rejects each request as full. */
  Full = 'full',
  /** Runs the request and resets the connection without an answer. */
  LoseAnswer = 'lose-answer',
  /** Breaks the answer off in the middle. */
  BreakOff = 'break-off',
  /** Answers with another request's identifier. */
  ForeignAnswer = 'foreign-answer',
  /** Sends a second answer after the first. */
  ExtraAnswer = 'extra-answer',
  /** Sends an answer without a length and closes in its middle. */
  Unframed = 'unframed',
  /** Answers with a failure of its own. */
  Failure = 'failure',
  /** Sends bytes that are no answer. */
  Garbage = 'garbage',
  /** Answers as another incarnation. */
  Replaced = 'replaced',
  /** Accepts the request and stays silent. */
  Silent = 'silent',
}

/** One request as a server saw it. */
export interface ServerRun {
  id: string;
  at: number;
  method: string;
  path: string;
  body: string;
  headers: IncomingMessage['headers'];
  /** Whether the caller closed before the answer was whole. */
  cancelled: boolean;
  /** How the server treated it. */
  fault: ServerFault;
}

/** Settings of a server. */
export interface HostedServerSettings {
  id: string;
  service: string;
  zone: string;
  slots: number;
  /** Time before each event of a stream, and of plain work. */
  stepMs: Millis;
  /** Events of a stream. */
  events: number;
}

type FaultHandler = (
  server: HostedServer,
  outgoing: ServerResponse,
  run: ServerRun,
) => void;

/** One server. */
export class HostedServer {
  fault = ServerFault.None;
  /** Requests that it began to run. */
  readonly runs: ServerRun[] = [];
  /** Requests that reached it. */
  arrivals = 0;
  private readonly server: Server;

  constructor(readonly settings: HostedServerSettings) {
    this.server = createServer((incoming, outgoing) => {
      void this.take(incoming, outgoing);
    });
  }

  /** Starts to listen; returns the entry for the store's list. */
  async listen(): Promise<Record<string, unknown>> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.server.address() as AddressInfo;
    return this.entry(`127.0.0.1:${port}`, 'ready');
  }

  /** Ends all connections. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Headers of each answer. */
  headers(run: ServerRun): Record<string, string> {
    return {
      'X-Request-Id': run.id,
      'X-Response-Seal': `seal-${this.settings.id}`,
      'X-Server-Load': `1,0,${this.settings.slots}`,
    };
  }

  private entry(address: string, state: string): Record<string, unknown> {
    const {service, zone, slots} = this.settings;
    const coldRemainingMs = 0;
    const version = 'v1';
    return {service, address, zone, slots, state, version, coldRemainingMs};
  }

  private async take(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming) {
      chunks.push(chunk as Buffer);
    }
    this.arrivals += 1;
    const run: ServerRun = {
      id: String(incoming.headers['x-request-id'] ?? ''),
      at: Date.now(),
      method: incoming.method ?? '',
      path: incoming.url ?? '',
      body: Buffer.concat(chunks).toString('latin1'),
      headers: incoming.headers,
      cancelled: false,
      fault: this.fault,
    };
    const expected = incoming.headers['x-expect-instance'];
    const replaced = this.fault === ServerFault.Replaced;
    if (replaced || (expected && expected !== this.settings.id)) {
      outgoing.writeHead(421, {'X-Instance-Id': this.settings.id});
      outgoing.end();
      return;
    }
    if (this.fault === ServerFault.Full) {
      outgoing.writeHead(503, {
        'X-Not-Executed': '1',
        'X-Request-Id': run.id,
      });
      outgoing.end();
      return;
    }
    this.runs.push(run);
    outgoing.on('close', () => {
      run.cancelled = !outgoing.writableFinished;
    });
    FAULTS[this.fault](this, outgoing, run);
  }
}

function serve(
  server: HostedServer,
  outgoing: ServerResponse,
  run: ServerRun,
): void {
  if (run.headers['x-token-usage'] === undefined) {
    setTimeout(() => {
      outgoing.writeHead(200, {...server.headers(run), 'Content-Length': 4});
      outgoing.end('done');
    }, server.settings.stepMs);
    return;
  }
  stream(server, outgoing, run, server.settings.events);
}

/** Sends events until `last`; later ones are left out. */
function stream(
  server: HostedServer,
  outgoing: ServerResponse,
  run: ServerRun,
  last: number,
): void {
  const {events, stepMs} = server.settings;
  let next = Number(run.headers['last-event-id'] ?? 0) + 1;
  const timer = setInterval(() => {
    if (outgoing.destroyed) {
      clearInterval(timer);
      return;
    }
    if (!outgoing.headersSent) {
      const type = {'Content-Type': 'text/event-stream'};
      outgoing.writeHead(200, {...server.headers(run), ...type});
    }
    if (next > last && last < events) {
      clearInterval(timer);
      outgoing.write(`id: ${next}\nda`);
      setTimeout(() => outgoing.socket?.resetAndDestroy(), stepMs);
      return;
    }
    outgoing.write(`id: ${next}\ndata: token ${next}\n\n`);
    next += 1;
    if (next > events) {
      clearInterval(timer);
      outgoing.end();
    }
  }, stepMs);
}

/** Writes bytes past the HTTP library. */
function raw(outgoing: ServerResponse, text: string, close: boolean): void {
  const {socket} = outgoing;
  socket?.write(text);
  if (close) {
    socket?.end();
  }
}

function head(server: HostedServer, run: ServerRun, length?: number): string {
  const lines = Object.entries(server.headers(run)).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  const framing =
    length === undefined
      ? 'Connection: close\r\n'
      : `Content-Length: ${length}\r\n`;
  return `HTTP/1.1 200 OK\r\n${lines.join('')}${framing}\r\n`;
}

const FAULTS: Readonly<Record<ServerFault, FaultHandler>> = {
  [ServerFault.None]: serve,
  [ServerFault.Full]: serve,
  [ServerFault.Replaced]: serve,
  [ServerFault.Silent]: () => undefined,
  [ServerFault.LoseAnswer]: (_server, outgoing) => {
    outgoing.socket?.resetAndDestroy();
  },
  [ServerFault.BreakOff]: (server, outgoing, run) => {
    if (run.headers['x-token-usage'] !== undefined) {
      stream(server, outgoing, run, Math.floor(server.settings.events / 2));
    } else {
      raw(outgoing, `${head(server, run, 100)}half`, true);
    }
  },
  [ServerFault.ForeignAnswer]: (server, outgoing, run) => {
    raw(outgoing, `${head(server, {...run, id: 'other'}, 4)}fake`, false);
  },
  [ServerFault.ExtraAnswer]: (server, outgoing, run) => {
    const whole = `${head(server, run, 4)}done`;
    raw(outgoing, whole, false);
    setTimeout(() => raw(outgoing, whole, false), server.settings.stepMs);
  },
  [ServerFault.Unframed]: (server, outgoing, run) => {
    raw(outgoing, `${head(server, run)}do`, true);
  },
  [ServerFault.Failure]: (server, outgoing, run) => {
    outgoing.writeHead(500, server.headers(run));
    outgoing.end('failed');
  },
  [ServerFault.Garbage]: (_server, outgoing) => {
    raw(outgoing, '\u0000\u0001 no answer\r\n\r\n', true);
  },
};
