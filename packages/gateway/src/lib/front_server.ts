/** The HTTP server towards callers. */
import {createServer} from 'node:http';
import {BodyTooLargeError, listenAt, readBody} from '@citrontrestle/runtime';
import {CallerResponse} from './caller_response.js';
import {RefusalReason} from './refusal.js';
import type {Dialect} from './ports.js';
import type {CallerLimits} from '@citrontrestle/decisions';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/** A request whose body has been read. */
export interface BufferedRequest {
  incoming: IncomingMessage;
  body: Buffer;
}

/** What the server tells its owner. */
export interface FrontServerHandler {
  /** Serves a request that has been read whole. */
  serve(request: BufferedRequest, response: CallerResponse): RequestHandle;
  /** Whether connections are to end with their next answer. */
  isClosing(): boolean;
  /** Largest body in bytes. */
  maxBodyBytes(): number;
}

/** Work for one caller. */
export interface RequestHandle {
  /** The caller has left. */
  cancel(): void;
}

/** Largest head of a request in bytes, before a configuration is known. */
const MAX_HEAD_BYTES = 64 * 1024;

/** Connections that wait to be taken. */
const LISTEN_BACKLOG = 1_024;

/** The server towards callers. */
export class FrontServer {
  private readonly server: Server;
  private activeCount = 0;

  constructor(
    private readonly dialect: Dialect,
    private readonly handler: FrontServerHandler,
  ) {
    this.server = createServer(
      {maxHeaderSize: MAX_HEAD_BYTES, noDelay: true},
      (incoming, response) => void this.handleRequest(incoming, response),
    );
    this.server.on('clientError', rejectMalformedRequest);
  }

  /** Starts to listen on `ip:port`. */
  listen(address: string): Promise<void> {
    return listenAt(this.server, address, LISTEN_BACKLOG);
  }

  /** Puts bounds on callers in force for new connections. */
  applyLimits(limits: CallerLimits): void {
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
  activeRequests(): number {
    return this.activeCount;
  }

  private async handleRequest(
    incoming: IncomingMessage,
    serverResponse: ServerResponse,
  ): Promise<void> {
    this.activeCount += 1;
    const state: {isClosed: boolean; handle?: RequestHandle} = {
      isClosed: false,
    };
    serverResponse.on('close', () => {
      this.activeCount -= 1;
      state.isClosed = true;
      if (!serverResponse.writableFinished) {
        state.handle?.cancel();
      }
    });
    const response = new CallerResponse(serverResponse, this.dialect, () =>
      this.handler.isClosing(),
    );
    const body = await this.readBodyOrRefuse(incoming, response);
    if (body === undefined || state.isClosed) {
      return;
    }
    state.handle = this.handler.serve({incoming, body}, response);
  }

  /** Reads the body; undefined if it is too large or the caller left. */
  private async readBodyOrRefuse(
    incoming: IncomingMessage,
    response: CallerResponse,
  ): Promise<Buffer | undefined> {
    const maxBytes = this.handler.maxBodyBytes();
    const contentLength = Number(incoming.headers['content-length'] ?? 0);
    try {
      if (contentLength > maxBytes) {
        throw new BodyTooLargeError('body too large');
      }
      return await readBody(incoming, maxBytes);
    } catch (error) {
      if (error instanceof BodyTooLargeError) {
        response.refuse(RefusalReason.BodyTooLarge);
        incoming.resume();
      }
      // Otherwise the caller left before it had sent its request.
      return undefined;
    }
  }
}

/** Answers by code of the parser's error; all others are malformed. */
const STATUS_BY_PARSER_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

function rejectMalformedRequest(
  error: NodeJS.ErrnoException,
  socket: Duplex,
): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status = STATUS_BY_PARSER_ERROR[error.code ?? ''] ?? '400 Bad Request';
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}
