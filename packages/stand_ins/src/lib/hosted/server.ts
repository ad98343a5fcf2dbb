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
  LostAnswer = 'lose-answer',
  /** Breaks the answer off in the middle. */
  TruncatedAnswer = 'break-off',
  /** Answers with another request's identifier. */
  WrongRequestId = 'foreign-answer',
  /** Sends a second answer after the first. */
  ExtraAnswer = 'extra-answer',
  /** Sends an answer without a length and closes in its middle. */
  TruncatedWithoutLength = 'unframed',
  /** Answers with a failure of its own. */
  Failure = 'failure',
  /** Sends bytes that are no answer. */
  MalformedAnswer = 'garbage',
  /** Answers as another incarnation. */
  Replaced = 'replaced',
  /** Accepts the request and stays silent. */
  Silent = 'silent',
}

/** One request as a server saw it. */
export interface ServerRun {
  id: string;
  startedAt: number;
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
  eventCount: number;
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
  arrivalCount = 0;
  private readonly server: Server;

  constructor(readonly settings: HostedServerSettings) {
    this.server = createServer((incoming, outgoing) => {
      void this.handleRequest(incoming, outgoing);
    });
  }

  /** Starts to listen; returns the entry for the store's list. */
  async listen(): Promise<Record<string, unknown>> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.server.address() as AddressInfo;
    return this.createListEntry(`127.0.0.1:${port}`, 'ready');
  }

  /** Ends all connections. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Headers of each answer. */
  answerHeaders(run: ServerRun): Record<string, string> {
    return {
      'X-Request-Id': run.id,
      'X-Response-Seal': `seal-${this.settings.id}`,
      'X-Server-Load': `1,0,${this.settings.slots}`,
    };
  }

  private createListEntry(
    address: string,
    state: string,
  ): Record<string, unknown> {
    const {service, zone, slots} = this.settings;
    const coldRemainingMs = 0;
    const version = 'v1';
    return {service, address, zone, slots, state, version, coldRemainingMs};
  }

  private async handleRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming) {
      chunks.push(chunk as Buffer);
    }
    this.arrivalCount += 1;
    const run: ServerRun = {
      id: String(incoming.headers['x-request-id'] ?? ''),
      startedAt: Date.now(),
      method: incoming.method ?? '',
      path: incoming.url ?? '',
      body: Buffer.concat(chunks).toString('latin1'),
      headers: incoming.headers,
      cancelled: false,
      fault: this.fault,
    };
    const expectedInstance = incoming.headers['x-expect-instance'];
    const isReplaced = this.fault === ServerFault.Replaced;
    if (
      isReplaced ||
      (expectedInstance && expectedInstance !== this.settings.id)
    ) {
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
    FAULT_HANDLERS[this.fault](this, outgoing, run);
  }
}

function sendNormalAnswer(
  server: HostedServer,
  outgoing: ServerResponse,
  run: ServerRun,
): void {
  if (run.headers['x-token-usage'] === undefined) {
    setTimeout(() => {
      outgoing.writeHead(200, {
        ...server.answerHeaders(run),
        'Content-Length': 4,
      });
      outgoing.end('done');
    }, server.settings.stepMs);
    return;
  }
  streamEvents(server, outgoing, run, server.settings.eventCount);
}

/** Sends events until `last`; later ones are left out. */
function streamEvents(
  server: HostedServer,
  outgoing: ServerResponse,
  run: ServerRun,
  lastEvent: number,
): void {
  const {eventCount: events, stepMs} = server.settings;
  let nextEvent = Number(run.headers['last-event-id'] ?? 0) + 1;
  const timer = setInterval(() => {
    if (outgoing.destroyed) {
      clearInterval(timer);
      return;
    }
    if (!outgoing.headersSent) {
      const contentType = {'Content-Type': 'text/event-stream'};
      outgoing.writeHead(200, {...server.answerHeaders(run), ...contentType});
    }
    if (nextEvent > lastEvent && lastEvent < events) {
      clearInterval(timer);
      outgoing.write(`id: ${nextEvent}\nda`);
      setTimeout(() => outgoing.socket?.resetAndDestroy(), stepMs);
      return;
    }
    outgoing.write(`id: ${nextEvent}\ndata: token ${nextEvent}\n\n`);
    nextEvent += 1;
    if (nextEvent > events) {
      clearInterval(timer);
      outgoing.end();
    }
  }, stepMs);
}

/** Writes bytes past the HTTP library. */
function writeRaw(
  outgoing: ServerResponse,
  text: string,
  closesConnection: boolean,
): void {
  const {socket} = outgoing;
  socket?.write(text);
  if (closesConnection) {
    socket?.end();
  }
}

function formatHead(
  server: HostedServer,
  run: ServerRun,
  length?: number,
): string {
  const headerLines = Object.entries(server.answerHeaders(run)).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  const framingLine =
    length === undefined
      ? 'Connection: close\r\n'
      : `Content-Length: ${length}\r\n`;
  return `HTTP/1.1 200 OK\r\n${headerLines.join('')}${framingLine}\r\n`;
}

const FAULT_HANDLERS: Readonly<Record<ServerFault, FaultHandler>> = {
  [ServerFault.None]: sendNormalAnswer,
  [ServerFault.Full]: sendNormalAnswer,
  [ServerFault.Replaced]: sendNormalAnswer,
  [ServerFault.Silent]: () => undefined,
  [ServerFault.LostAnswer]: (_server, outgoing) => {
    outgoing.socket?.resetAndDestroy();
  },
  [ServerFault.TruncatedAnswer]: (server, outgoing, run) => {
    if (run.headers['x-token-usage'] !== undefined) {
      streamEvents(
        server,
        outgoing,
        run,
        Math.floor(server.settings.eventCount / 2),
      );
    } else {
      writeRaw(outgoing, `${formatHead(server, run, 100)}half`, true);
    }
  },
  [ServerFault.WrongRequestId]: (server, outgoing, run) => {
    writeRaw(
      outgoing,
      `${formatHead(server, {...run, id: 'other'}, 4)}fake`,
      false,
    );
  },
  [ServerFault.ExtraAnswer]: (server, outgoing, run) => {
    const answer = `${formatHead(server, run, 4)}done`;
    writeRaw(outgoing, answer, false);
    setTimeout(() => writeRaw(outgoing, answer, false), server.settings.stepMs);
  },
  [ServerFault.TruncatedWithoutLength]: (server, outgoing, run) => {
    writeRaw(outgoing, `${formatHead(server, run)}do`, true);
  },
  [ServerFault.Failure]: (server, outgoing, run) => {
    outgoing.writeHead(500, server.answerHeaders(run));
    outgoing.end('failed');
  },
  [ServerFault.MalformedAnswer]: (_server, outgoing) => {
    writeRaw(outgoing, '\u0000\u0001 no answer\r\n\r\n', true);
  },
};
