/**
 * The HTTP response to one caller. It is either sent completely or aborted in a
 * way that the caller can detect.
 */
import {REFUSAL_RESPONSES} from './refusal.js';
import type {Dialect} from '../process/ports.js';
import type {Millis} from '@citrontrestle/decisions';
import type {RefusalReason} from './refusal.js';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';

/** Writes the HTTP response to one caller. */
export class CallerResponse {
  constructor(
    private readonly response: ServerResponse,
    private readonly dialect: Dialect,
    /** Whether the connection is closed after this response. */
    private readonly isClosing: () => boolean,
  ) {
    response.sendDate = false;
  }

  /**
   * Whether the caller has left, as far as its connection has been read. It is
   * told by events only later.
   */
  hasCallerLeft(): boolean {
    const {socket} = this.response.req;
    return socket.destroyed || socket.readableEnded;
  }

  /** Whether the head has been sent. */
  hasBegun(): boolean {
    return this.response.headersSent;
  }

  /** Whether the caller takes a body in chunks; one of HTTP/1.0 doesn't. */
  takesChunks(): boolean {
    return this.response.useChunkedEncodingByDefault;
  }

  /**
   * Marks the end of the body only by closing the connection, as the upstream
   * did: the upstream's response may be truncated, and must then not look
   * complete to the caller. Must be called before `writeHead`.
   */
  delimitByClose(): void {
    this.response.useChunkedEncodingByDefault = false;
  }

  /** Sends the head of a response whose body follows in parts. */
  writeHead(status: number, headers: OutgoingHttpHeaders): void {
    this.response.writeHead(status, this.addCloseHeader(headers));
  }

  /** Sends the head at once instead of with the first part of the body. */
  flushHead(): void {
    this.response.flushHeaders();
  }

  /**
   * Writes a part of the body; returns false if the send buffer is full. The
   * part is sent in either case.
   */
  write(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  /** Calls back once when the send buffer is empty again. */
  onDrain(callback: () => void): void {
    this.response.once('drain', callback);
  }

  /** Ends a response that was sent in parts as complete. */
  end(): void {
    this.response.end();
  }

  /** Sends a complete response. */
  send(status: number, headers: OutgoingHttpHeaders, body: Buffer): void {
    this.response.writeHead(status, this.addCloseHeader(headers));
    this.response.end(body);
  }

  /**
   * Sends a complete response that states why the request is refused.
   * @param delay time after which to retry, if a retry may help; by default, that
   *     of the reason.
   */
  refuse(reason: RefusalReason, delay?: Millis): void {
    const {status, headers, body} = this.refusal(reason, delay);
    this.send(status, headers, body);
  }

  /**
   * Sends the same as `refuse` for a request whose body is not read. `end` must
   * follow later: closing the connection at once would reset it, and the caller
   * might not get the response.
   */
  refuseUnread(reason: RefusalReason, delay: Millis): void {
    const {status, headers, body} = this.refusal(reason, delay);
    this.response.writeHead(status, {...headers, Connection: 'close'});
    this.response.write(body);
  }

  /** Returns the parts of a response that states why a request is refused. */
  private refusal(
    reason: RefusalReason,
    delay: Millis | undefined,
  ): {status: number; headers: OutgoingHttpHeaders; body: Buffer} {
    const {status, retryAfter: usualDelay} = REFUSAL_RESPONSES[reason];
    const retryAfter = usualDelay && (delay ?? usualDelay);
    const body = Buffer.from(JSON.stringify({error: reason}));
    const headers: OutgoingHttpHeaders = {
      'Content-Type': 'application/json',
      'Content-Length': body.length,
      ...(retryAfter === undefined
        ? {}
        : this.dialect.retryAfterHeaders(retryAfter)),
    };
    return {status, headers, body};
  }

  /** Resets the connection so that the response can't look complete. */
  abort(): void {
    const {socket} = this.response;
    if (socket === null) {
      this.response.destroy();
    } else {
      socket.resetAndDestroy();
    }
  }

  private addCloseHeader(headers: OutgoingHttpHeaders): OutgoingHttpHeaders {
    return this.isClosing() ? {...headers, Connection: 'close'} : headers;
  }
}
