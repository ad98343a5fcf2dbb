/** The HTTP server that accepts the requests of callers. */
import {createServer} from 'node:http';
import {
  BodyTooLargeError,
  listenPersistently,
  NoRoomError,
  readBody,
} from '@citrontrestle/runtime';
import {ESTIMATED_HEAD_BYTES} from './admission.js';
import {CallerResponse} from './caller_response.js';
import {exceptionFields} from '../process/exception_guard.js';
import {HeldPart} from '../process/held_bytes.js';
import {RefusalReason} from './refusal.js';
import type {BufferCollection} from '../process/buffer_collection.js';
import type {HeldBytes} from '../process/held_bytes.js';
import type {SocketReads} from '../process/socket_reads.js';
import type {Dialect} from '../process/ports.js';
import type {CallerLimits, Millis} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/** A request whose body has been read. */
export interface BufferedRequest {
  incoming: IncomingMessage;
  body: Buffer;
}

/** Serves the requests that a `FrontServer` accepts. */
export interface FrontServerHandler {
  /** Serves a request whose body has been read. */
  serve(request: BufferedRequest, response: CallerResponse): RequestHandle;
  /** Whether each connection is closed after its next response. */
  isClosing(): boolean;
  /** Returns the maximum size of a request body in bytes. */
  maxBodyBytes(): number;
  /** Is told of a request whose caller left before it was served. */
  recordDeparture(): void;
  /** Is told of bytes that were received from callers. */
  recordReceived(bytes: number): void;
  /**
   * Returns the delay of a retry if a request is refused before its body is read,
   * because the link is full; undefined if the body is to be read.
   */
  delayOfRefusedHead(incoming: IncomingMessage): Millis | undefined;
}

/** Lets the server cancel a request that is being served. */
export interface RequestHandle {
  /** Cancels the request because its caller disconnected. */
  cancel(): void;
  /** Gives the caller its final response, because the instance stops. */
  stop(): void;
}

/**
 * Maximum size of a request's head in bytes. It is fixed, as the server is
 * created before a configuration is known.
 */
const MAX_HEAD_BYTES = 64 * 1024;

/** Time for which a connection stays open whose body was refused. */
const LINGER_TIME: Millis = 1_000;

/**
 * Time for which the body of a request that was refused on its head stays unread,
 * so that the caller can read the response and stop sending.
 */
const UNREAD_TIME: Millis = 200;

/** Maximum size of the rest of such a body that is read. */
const MAX_DISCARDED_BYTES = 512 * 1024;

/** Maximum number of connections that wait to be accepted. */
const LISTEN_BACKLOG = 1_024;

/** How far a request has come. */
interface ServingState {
  /** Whether its response has ended or its connection has closed. */
  isClosed: boolean;
  /** Undefined until it is served. */
  handle?: RequestHandle;
}

/** Reads the requests of callers and passes them to a handler. */
export class FrontServer {
  private readonly server: Server;
  private activeCount = 0;
  private readonly handles = new Set<RequestHandle>();
  /** Connections that end with the refusal of a request whose body is unread. */
  private readonly closingSockets = new WeakSet<Duplex>();
  /** What ends the responses of each connection that have not ended. */
  private readonly openResponses = new WeakMap<Duplex, Set<() => void>>();

  constructor(
    private readonly dialect: Dialect,
    private readonly handler: FrontServerHandler,
    private readonly log: Log,
    /** Bytes of bodies that are kept for all requests. */
    private readonly heldRequests: HeldBytes,
    /** Is told of all bytes of bodies that are read. */
    private readonly bufferCollection: BufferCollection,
    private readonly socketReads: SocketReads,
  ) {
    this.server = createServer(
      {maxHeaderSize: MAX_HEAD_BYTES, noDelay: true},
      (incoming, response) => void this.handleRequest(incoming, response),
    );
    this.server.on('connection', connection => {
      this.watchConnection(connection);
    });
    this.server.on('clientError', (error, socket) => {
      if (this.closingSockets.has(socket)) {
        socket.destroy();
      } else {
        rejectMalformedRequest(error, socket);
      }
    });
  }

  /** Resolves when it listens on `ip:port`. */
  listen(address: string): Promise<void> {
    return listenPersistently(this.server, address, this.log, LISTEN_BACKLOG);
  }

  /** Whether callers can connect. */
  isListening(): boolean {
    return this.server.listening;
  }

  /** Applies the timeouts for callers to new connections. */
  applyLimits(limits: CallerLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeout;
    this.server.headersTimeout = limits.headerTimeout;
  }

  /**
   * Accepts no more connections and closes the idle ones: requests that callers
   * send on them from now on are not read. Running requests continue.
   */
  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Gives all requests that are being served their final responses. */
  endRequests(): void {
    this.handles.forEach(handle => handle.stop());
  }

  /** Returns the number of requests that are being read or served. */
  activeRequests(): number {
    return this.activeCount;
  }

  private async handleRequest(
    incoming: IncomingMessage,
    serverResponse: ServerResponse,
  ): Promise<void> {
    if (this.closingSockets.has(incoming.socket)) {
      // It follows one that was refused on its head, so it gets no response.
      incoming.resume();
      return;
    }
    this.activeCount += 1;
    const state: ServingState = {isClosed: false};
    const held = new HeldPart(this.heldRequests);
    this.whenEnded(serverResponse, () => {
      this.activeCount -= 1;
      held.resize(0);
      state.isClosed = true;
      if (state.handle !== undefined) {
        this.handles.delete(state.handle);
      }
      if (!serverResponse.writableFinished) {
        state.handle?.cancel();
      }
    });
    const response = new CallerResponse(serverResponse, this.dialect, () =>
      this.handler.isClosing(),
    );
    try {
      if (this.refuseOnHead(incoming, response)) {
        return;
      }
      const body = await this.readBodyOrRefuse(incoming, response, held);
      if (body !== undefined) {
        this.socketReads.runAfter(() =>
          this.serveUnlessLeft({incoming, body}, response, state),
        );
      }
    } catch (error) {
      this.endOnException(error, incoming, response);
    }
  }

  /**
   * Calls back once when a response has ended or its connection has closed. A
   * response that waits behind another one on its connection is not told of that.
   */
  private whenEnded(response: ServerResponse, callback: () => void): void {
    const responses = this.openResponses.get(response.req.socket);
    const end = () => {
      if (responses?.delete(end) !== false) {
        callback();
      }
    };
    responses?.add(end);
    response.on('close', end);
  }

  /** Keeps what is to be called when a connection closes. */
  private watchConnection(connection: Duplex): void {
    const responses = new Set<() => void>();
    this.openResponses.set(connection, responses);
    connection.once('close', () => responses.forEach(end => end()));
  }

  /** Serves a request, unless its caller has left. */
  private serveUnlessLeft(
    request: BufferedRequest,
    response: CallerResponse,
    state: ServingState,
  ): void {
    if (state.isClosed || response.hasCallerLeft()) {
      this.handler.recordDeparture();
      return;
    }
    try {
      state.handle = this.handler.serve(request, response);
      this.handles.add(state.handle);
    } catch (error) {
      this.endOnException(error, request.incoming, response);
    }
  }

  private endOnException(
    error: unknown,
    incoming: IncomingMessage,
    response: CallerResponse,
  ): void {
    const request = String(incoming.headers['x-request-id']);
    this.log.error('request.threw', {request, ...exceptionFields(error)});
    response.abort();
  }

  /**
   * Refuses a request before its body is read and returns true, if the link is
   * too full for it.
   */
  private refuseOnHead(
    incoming: IncomingMessage,
    response: CallerResponse,
  ): boolean {
    this.handler.recordReceived(ESTIMATED_HEAD_BYTES);
    const delay = this.handler.delayOfRefusedHead(incoming);
    if (delay === undefined) {
      return false;
    }
    this.closingSockets.add(incoming.socket);
    response.refuseUnread(RefusalReason.MachineBusy, delay);
    // By then, a small body that came with the head is complete.
    setImmediate(() => {
      if (incoming.complete) {
        response.end();
      } else {
        this.discardUnread(incoming, response);
      }
    });
    return true;
  }

  /**
   * Gives the caller time to read the response and to disconnect; then reads the
   * rest of the body in case the caller sends all of it first.
   */
  private discardUnread(
    incoming: IncomingMessage,
    response: CallerResponse,
  ): void {
    const timer = setTimeout(() => {
      incoming.once('end', () => response.end());
      this.discardRest(incoming);
    }, UNREAD_TIME);
    incoming.once('close', () => {
      clearTimeout(timer);
    });
  }

  /**
   * Reads the body of a request. Returns undefined if the body is too large or
   * there is no room for it, in which case the request is refused and the
   * connection closed, or if the caller disconnected.
   */
  private async readBodyOrRefuse(
    incoming: IncomingMessage,
    response: CallerResponse,
    held: HeldPart,
  ): Promise<Buffer | undefined> {
    const maxBytes = Math.min(
      this.handler.maxBodyBytes(),
      this.heldRequests.limit,
    );
    const contentLength = Number(incoming.headers['content-length'] ?? 0);
    try {
      if (contentLength > maxBytes) {
        throw new BodyTooLargeError('request body exceeds the maximum size');
      }
      return await readBody(incoming, maxBytes, bytes => {
        this.bufferCollection.recordRead(bytes);
        this.handler.recordReceived(bytes);
        return held.tryGrow(bytes);
      });
    } catch (error) {
      const {BodyTooLarge, MachineBusy} = RefusalReason;
      const isTooLarge = error instanceof BodyTooLargeError;
      if (isTooLarge || error instanceof NoRoomError) {
        held.resize(0);
        response.refuse(isTooLarge ? BodyTooLarge : MachineBusy);
        this.discardRest(incoming);
      }
      // Otherwise the caller disconnected before it had sent the whole body.
      return undefined;
    }
  }

  /**
   * Reads some of the rest of a body that was refused, so that the caller reads
   * the response; disconnects if the body does not end soon.
   */
  private discardRest(incoming: IncomingMessage): void {
    let discarded = 0;
    incoming.on('data', (chunk: Buffer) => {
      this.bufferCollection.recordRead(chunk.length);
      this.handler.recordReceived(chunk.length);
      discarded += chunk.length;
      if (discarded > MAX_DISCARDED_BYTES) {
        incoming.pause();
      }
    });
    incoming.resume();
    setTimeout(() => {
      if (!incoming.readableEnded) {
        incoming.socket.destroy();
      }
    }, LINGER_TIME);
  }
}

/**
 * Status codes and texts by error code of the HTTP parser. Other errors mean a
 * malformed request.
 */
const STATUS_BY_PARSER_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Responds to a request that the HTTP parser rejected, and disconnects. */
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
