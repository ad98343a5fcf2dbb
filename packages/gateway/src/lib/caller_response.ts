/** The answer to one caller: sent whole, or visibly broken off. */
import {REFUSAL_RESPONSES} from './refusal.js';
import type {Dialect} from './ports.js';
import type {RefusalReason} from './refusal.js';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';

/** Writes the answer to one caller. */
export class CallerResponse {
  constructor(
    private readonly response: ServerResponse,
    private readonly dialect: Dialect,
    /** Whether the connection ends after this answer. */
    private readonly isClosing: () => boolean,
  ) {
    response.sendDate = false;
  }

  /** Whether the head has been written. */
  hasBegun(): boolean {
    return this.response.headersSent;
  }

  /**
   * Leaves the end of the body to the end of the connection, as the upstream
   * did: its answer may be cut, and then must not look whole.
   */
  delimitByClose(): void {
    this.response.useChunkedEncodingByDefault = false;
  }

  /** Writes the head of a streamed answer. */
  writeHead(status: number, headers: OutgoingHttpHeaders): void {
    this.response.writeHead(status, this.addCloseHeader(headers));
  }

  /** Writes bytes; returns false while the caller can't take more. */
  write(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  /** Calls back when the caller can take more. */
  onDrain(callback: () => void): void {
    this.response.once('drain', callback);
  }

  /** Ends a streamed answer as complete. */
  end(): void {
    this.response.end();
  }

  /** Sends a whole answer. */
  send(status: number, headers: OutgoingHttpHeaders, body: Buffer): void {
    this.response.writeHead(status, this.addCloseHeader(headers));
    this.response.end(body);
  }

  /** Sends an answer of the gateway's own. */
  refuse(reason: RefusalReason): void {
    const {status, retryAfter} = REFUSAL_RESPONSES[reason];
    const body = Buffer.from(JSON.stringify({error: reason}));
    const headers: OutgoingHttpHeaders = {
      'Content-Type': 'application/json',
      'Content-Length': body.length,
      ...(retryAfter === undefined
        ? {}
        : this.dialect.retryAfterHeaders(retryAfter)),
    };
    this.send(status, headers, body);
  }

  /** Breaks the answer off so that it can't pass for a whole one. */
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
