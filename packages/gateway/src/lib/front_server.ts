/** The HTTP server towards callers. */
import {createServer} from 'node:http';
import {BodyTooLargeError, listenAt, readBody} from '@citrontrestle/runtime';
import {CallerAnswer} from './caller_answer.js';
import {RefusalReason} from './refusal.js';
import type {Dialect} from './ports.js';
import type {CallerLimits} from '@citrontrestle/decisions';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/** A request whose body has been read. */
export interface ReadRequest {
  incoming: IncomingMessage;
  body: Buffer;
}

/** What the server tells its owner. */
export interface FrontOwner {
  /** Serves a request that has been read whole. */
  serve(request: ReadRequest, answer: CallerAnswer): CallerWork;
  /** Whether connections are to end with their next answer. */
  closing(): boolean;
  /** Largest body in bytes. */
  mostBodyBytes(): number;
}

/** Work for one caller. */
export interface CallerWork {
  /** The caller has left. */
  callerLeft(): void;
}

/** Largest head of a request in bytes, before a configuration is known. */
const MOST_HEAD_BYTES = 64 * 1024;

/** Connections that wait to be taken. */
const BACKLOG = 1_024;

/** The server towards callers. */
export class FrontServer {
  private readonly server: Server;
  private running = 0;

  constructor(
    private readonly dialect: Dialect,
    private readonly owner: FrontOwner,
  ) {
    this.server = createServer(
      {maxHeaderSize: MOST_HEAD_BYTES, noDelay: true},
      (incoming, response) => void this.take(incoming, response),
    );
    this.server.on('clientError', refuseMalformed);
  }

  /** Starts to listen on `ip:port`. */
  listen(address: string): Promise<void> {
    return listenAt(this.server, address, BACKLOG);
  }

  /** Puts bounds on callers in force for new connections. */
  bound(limits: CallerLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeout;
    this.server.headersTimeout = limits.headerTimeout;
  }

  /**
   * Takes no more connections and ends the idle ones: what a caller sends on
   * them from now on is not read.
   */
  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Requests that are being read or served. */
  active(): number {
    return this.running;
  }

  private async take(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.running += 1;
    const state: {left: boolean; work?: CallerWork} = {left: false};
    response.on('close', () => {
      this.running -= 1;
      state.left = true;
      if (!response.writableFinished) {
        state.work?.callerLeft();
      }
    });
    const answer = new CallerAnswer(response, this.dialect, () =>
      this.owner.closing(),
    );
    const body = await this.body(incoming, answer);
    if (body === undefined || state.left) {
      return;
    }
    state.work = this.owner.serve({incoming, body}, answer);
  }

  /** Reads the body; undefined if it is too large or the caller left. */
  private async body(
    incoming: IncomingMessage,
    answer: CallerAnswer,
  ): Promise<Buffer | undefined> {
    const most = this.owner.mostBodyBytes();
    const length = Number(incoming.headers['content-length'] ?? 0);
    try {
      if (length > most) {
        throw new BodyTooLargeError('body too large');
      }
      return await readBody(incoming, most);
    } catch (error) {
      if (error instanceof BodyTooLargeError) {
        answer.refuse(RefusalReason.BodyTooLarge);
        incoming.resume();
      }
      // Otherwise the caller left before it had sent its request.
      return undefined;
    }
  }
}

/** Answers by code of the parser's error; all others are malformed. */
const PARSER_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

function refuseMalformed(error: NodeJS.ErrnoException, socket: Duplex): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status = PARSER_STATUS[error.code ?? ''] ?? '400 Bad Request';
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}
