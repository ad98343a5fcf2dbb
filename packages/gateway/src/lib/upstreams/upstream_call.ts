/**
 * Sends one HTTP request to one upstream and checks the response. In this
 * module "response" means that of the upstream, not the one to the caller.
 */
import {request} from 'node:http';
import {
  callAfterReading,
  discardBody,
  isCutOff,
  isDelimitedByClose,
  isOwnAnswer,
  MAX_INTERIM_RESPONSES,
  observeConnectionEnd,
  sleep,
  splitAddress,
} from '@citrontrestle/runtime';
import {CallFailure} from '../requests/call_failure.js';
import {NOT_EXECUTED_FAILURES} from '../requests/forwarding_result.js';
import {parseFailure} from './proxy_protocol.js';
import {ResponseEnd} from './response_end.js';
import {
  findResponseFault,
  isFinalStatus,
  receivedHeadOf,
} from './response_head.js';
import type {UpstreamResponseHead, Dialect} from '../process/ports.js';
import type {StatedFailure} from './proxy_protocol.js';
import type {ReceivedHead} from './response_head.js';
import type {UpstreamAgent} from './upstream_agent.js';
import type {IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import type {Socket} from 'node:net';
import type {Millis} from '@citrontrestle/decisions';
import type {ConnectionHistory} from '@citrontrestle/runtime';

/** Kind of the connection that a call uses. */
export enum ConnectionKind {
  /** One that an earlier call has left open. */
  Kept = 'kept',
  /** One that is opened for the call. */
  New = 'new',
}

/** The connection that a call uses. */
export interface CallConnection extends ConnectionHistory {
  kind: ConnectionKind;
}

/**
 * Receives the response of a call. No method is called after `onComplete`,
 * `onFailure` or `cancel`.
 */
export interface UpstreamCallListener {
  /** The request is written to a connection, at once or after the call began. */
  onSent(): void;
  onHead(receivedHead: ReceivedHead): void;
  /**
   * Called with the head of each response to this request, before any other
   * method, for what the upstream states about itself.
   */
  onStatement(head: UpstreamResponseHead): void;
  onData(chunk: Buffer): void;
  onComplete(): void;
  onFailure(failure: CallFailure, reason: string): void;
}

/** Is told what a call learns of the way to its upstream. */
export interface ConnectionObserver {
  /** The call has begun. */
  onSent(): void;
  /** A new connection was established. */
  onConnected(): void;
  /**
   * No connection could be established.
   * @param timedOut whether it took too long, rather than being refused.
   */
  onConnectFailed(timedOut: boolean): void;
  /** Something was received. */
  onHeard(): void;
  /** The call has completed, failed or been cancelled. */
  onEnded(): void;
}

/** A request to an upstream. */
export interface UpstreamRequest {
  /** Address of the upstream, or of a peer that forwards it, as `ip:port`. */
  address: string;
  method: string;
  /** Path with query. */
  target: string;
  headers: OutgoingHttpHeaders;
  body: Buffer;
  /** Identifier that the response must carry. */
  requestId: string;
  agent: UpstreamAgent;
  observer: ConnectionObserver;
  /** Whether a peer forwards the request. */
  isProxied: boolean;
  /**
   * Returns the time within which a new connection is established. Asked again when
   * it is over, as it is longer while the own link is crowded.
   */
  connectTimeout(): Millis;
  /**
   * Whether the request may still be sent. Asked when a new connection has been
   * established, before anything is written to it.
   */
  mayStillSend(): boolean;
  /** Resolves with whether the process at the address is known to be there still. */
  isProcessThere(): Promise<boolean>;
}

/** Number of chunks in one read above which they count as tiny. */
const MANY_PIECES = 512;

/** Maximum number of tiny chunks of a body. */
const MAX_TINY_PIECES = 4_096;

/** Methods that need no `Content-Length` header for an empty body. */
const METHODS_WITHOUT_BODY = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS']);

/** Time in which a process that is killed closes its connections and listeners. */
const PROCESS_END_TIME: Millis = 20;

/** Reason of a call that may not be sent once it has a connection. */
const WITHDRAWN = 'no more requests may be sent to the upstream';

/**
 * One HTTP request to an upstream. The constructor sends it; it throws an error
 * if the request can't be written as HTTP.
 */
export class UpstreamCall {
  private readonly outgoingRequest;
  private incomingResponse: IncomingMessage | undefined;
  /** Whether a connection was established and bytes may have been sent. */
  private mayHaveSent = false;
  private hasEnded = false;
  /** Number of chunks in reads of a great many tiny ones. */
  private tinyPieces = 0;
  private interimResponses = 0;
  /**
   * Pieces of the body that were parsed from one read. They are passed on
   * together, as an upstream may send a body in chunks of a few bytes.
   */
  private readPieces: Buffer[] = [];
  private connection: CallConnection | undefined;
  /** Whether an idle connection may have carried the identifier before. */
  private readonly isRepeated: boolean;
  private connectTimer: NodeJS.Timeout | undefined;
  private connectTimedOut = false;
  private endOfResponse: ResponseEnd | undefined;
  /** Whether the body has ended, and it is checked whether it is whole. */
  private isCheckingEnd = false;

  constructor(
    private readonly upstreamRequest: UpstreamRequest,
    private readonly dialect: Dialect,
    private readonly listener: UpstreamCallListener,
  ) {
    const {address, method, target, body, requestId} = upstreamRequest;
    const headers = {...upstreamRequest.headers};
    if (body.length > 0 || !METHODS_WITHOUT_BODY.has(method)) {
      headers['Content-Length'] = body.length;
    }
    const agent = upstreamRequest.agent.agentFor(address, requestId);
    this.isRepeated = agent !== upstreamRequest.agent;
    this.outgoingRequest = request({
      ...splitAddress(address),
      method,
      path: target,
      headers,
      agent,
      setHost: false,
    });
    upstreamRequest.observer.onSent();
    this.attachHandlers();
    this.outgoingRequest.end(body);
  }

  /** Ends the call without informing the listener. */
  cancel(): void {
    if (!this.hasEnded) {
      this.finish();
      this.outgoingRequest.destroy();
    }
  }

  /** Whether the call has not yet completed, failed or been cancelled. */
  isRunning(): boolean {
    return !this.hasEnded;
  }

  /** Whether it failed as its connection was not established in time. */
  hasConnectTimedOut(): boolean {
    return this.connectTimedOut;
  }

  /** Returns its connection; undefined before it has one. */
  usedConnection(): CallConnection | undefined {
    return this.connection;
  }

  /**
   * Returns how its response ended; undefined unless the end of the connection
   * delimits the body and has come.
   */
  responseEnd(): ResponseEnd | undefined {
    return this.endOfResponse;
  }

  /** Pauses or resumes reading the response. */
  setFlowing(isFlowing: boolean): void {
    const response = this.incomingResponse;
    if (!isFlowing) {
      response?.pause();
    } else if (response?.isPaused() === true) {
      response.resume();
    }
  }

  private attachHandlers(): void {
    const {outgoingRequest} = this;
    observeConnectionEnd(outgoingRequest);
    outgoingRequest.on('socket', socket => {
      const {agent, requestId} = this.upstreamRequest;
      const {Kept, New} = ConnectionKind;
      this.connection = {
        ...agent.recordSent(socket, requestId),
        kind: socket.connecting ? New : Kept,
      };
      if (!socket.connecting) {
        this.recordSent();
        return;
      }
      this.awaitConnection(socket, 0);
      socket.once('connect', () => {
        const {observer, mayStillSend} = this.upstreamRequest;
        clearTimeout(this.connectTimer);
        observer.onConnected();
        if (!mayStillSend()) {
          // The request is written after this listener, so none of it is.
          this.fail(CallFailure.NotSent, WITHDRAWN);
          return;
        }
        this.recordSent();
      });
    });
    outgoingRequest.on('error', (error: NodeJS.ErrnoException) => {
      const reason = error.code ?? error.message;
      if (this.mayHaveSent) {
        this.fail(CallFailure.ResponseLost, reason);
      } else {
        this.failUnsent(reason);
      }
    });
    outgoingRequest.on('information', () => {
      this.interimResponses += 1;
      if (this.interimResponses > MAX_INTERIM_RESPONSES) {
        this.fail(CallFailure.InvalidResponse, 'too many interim responses');
      }
    });
    outgoingRequest.on('response', response => {
      try {
        this.handleResponse(response);
      } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        this.fail(CallFailure.InvalidResponse, reason);
      }
    });
  }

  /** Fails if a connection is not established in time. */
  private awaitConnection(socket: Socket, waited: Millis): void {
    const timeout = this.upstreamRequest.connectTimeout();
    if (waited >= timeout) {
      this.connectTimedOut = true;
      this.failUnsent('connection timed out');
      return;
    }
    this.connectTimer = callAfterReading(timeout - waited, () => {
      if (socket.connecting && !this.hasEnded) {
        this.awaitConnection(socket, timeout);
      }
    });
  }

  private recordSent(): void {
    this.mayHaveSent = true;
    if (!this.hasEnded) {
      this.listener.onSent();
    }
  }

  private handleResponse(response: IncomingMessage): void {
    this.incomingResponse = response;
    const {observer, isProxied} = this.upstreamRequest;
    observer.onHeard();
    const proxyFailure = isProxied ? parseFailure(response.headers) : undefined;
    if (proxyFailure !== undefined) {
      discardBody(response);
      this.finish();
      const failure = this.believedFailure(proxyFailure);
      this.listener.onFailure(failure, proxyFailure.reason);
      return;
    }
    const status = response.statusCode ?? 0;
    const head = this.dialect.parseUpstreamResponseHead(
      status,
      response.headers,
    );
    if (!this.isOwnResponse(head)) {
      this.fail(
        CallFailure.InvalidResponse,
        'response belongs to another request',
      );
      return;
    }
    if (!isFinalStatus(status)) {
      const reason = `status ${status} is not that of a final response`;
      this.fail(CallFailure.InvalidResponse, reason);
      return;
    }
    if (!head.isMisdirected) {
      this.listener.onStatement(head);
    }
    if (head.notExecuted) {
      this.upstreamRequest.agent.recordRefusal(response.socket);
      discardBody(response);
      this.finish();
      const {NotExecuted, Replaced} = CallFailure;
      const failure = head.isMisdirected ? Replaced : NotExecuted;
      this.listener.onFailure(failure, `status ${status}`);
      return;
    }
    const fault = findResponseFault(head, status);
    if (fault !== undefined) {
      this.fail(CallFailure.InvalidResponse, fault);
      return;
    }
    response.on('data', (chunk: Buffer) => {
      observer.onHeard();
      this.readPieces.push(chunk);
      if (this.readPieces.length === 1) {
        process.nextTick(() => this.passPiecesOn());
      }
    });
    const received = receivedHeadOf(response, head, this.upstreamRequest);
    // A peer sends such a body in chunks, and marks it.
    const endsByClose =
      received.isCloseDelimited && isDelimitedByClose(response);
    response.on('end', () => this.handleEnd(response, endsByClose));
    response.on('error', error => {
      this.passPiecesOn();
      this.fail(CallFailure.ResponseLost, error.message);
    });
    response.on('close', () => {
      this.passPiecesOn();
      if (!this.isCheckingEnd) {
        this.fail(CallFailure.ResponseLost, 'cut');
      }
    });
    this.listener.onHead(received);
  }

  /**
   * Returns how the call failed, as a peer states it. A peer of an earlier version
   * names no request, and may take the copy of a refusal for one if the identifier
   * came before.
   */
  private believedFailure({failure, requestId}: StatedFailure): CallFailure {
    const isOwn =
      requestId === undefined
        ? !this.isRepeated || !NOT_EXECUTED_FAILURES.has(failure)
        : requestId === this.upstreamRequest.requestId;
    return isOwn ? failure : CallFailure.ResponseLost;
  }

  private passPiecesOn(): void {
    const pieces = this.readPieces;
    this.readPieces = [];
    const [first] = pieces;
    if (first !== undefined && !this.hasEnded) {
      this.listener.onData(pieces.length === 1 ? first : Buffer.concat(pieces));
      this.countTinyPieces(pieces.length);
    }
  }

  /**
   * Fails if the body consists of tiny chunks without end: each costs about as
   * much time as a large one, so a few such bodies leave none for others.
   */
  private countTinyPieces(pieces: number): void {
    this.tinyPieces += pieces > MANY_PIECES ? pieces : 0;
    if (this.tinyPieces > MAX_TINY_PIECES) {
      this.fail(CallFailure.InvalidResponse, 'too many tiny chunks');
    }
  }

  /**
   * Whether a response surely answers this request. Only a rejection may lack
   * the identifier.
   */
  private isOwnResponse({
    requestId,
    notExecuted,
  }: UpstreamResponseHead): boolean {
    const {connection, upstreamRequest} = this;
    const isNamedIfNeeded = requestId !== undefined || notExecuted;
    return (
      connection !== undefined &&
      isNamedIfNeeded &&
      isOwnAnswer(upstreamRequest.requestId, requestId, connection)
    );
  }

  private handleEnd(response: IncomingMessage, endsByClose: boolean): void {
    this.passPiecesOn();
    if (this.hasEnded) {
      return;
    }
    if (endsByClose) {
      const {Reset, Closed} = ResponseEnd;
      this.endOfResponse = isCutOff(response) ? Reset : Closed;
    }
    if (this.endOfResponse === ResponseEnd.Reset) {
      this.fail(CallFailure.ResponseLost, 'reset at the end of the body');
      return;
    }
    if (!response.complete) {
      this.fail(CallFailure.ResponseLost, 'incomplete');
      return;
    }
    if (endsByClose) {
      void this.checkEnd(response);
      return;
    }
    this.complete(response);
  }

  /**
   * Completes the call if the upstream's process is still there: the connections
   * of one that was killed are closed in the ordinary way.
   */
  private async checkEnd(response: IncomingMessage): Promise<void> {
    this.isCheckingEnd = true;
    await sleep(PROCESS_END_TIME);
    const isProcessThere = await this.upstreamRequest.isProcessThere();
    if (this.hasEnded) {
      return;
    }
    if (isProcessThere) {
      this.complete(response);
      return;
    }
    this.endOfResponse = ResponseEnd.ProcessGone;
    const reason = 'the process is gone at the end of the body';
    this.fail(CallFailure.ResponseLost, reason);
  }

  private complete(response: IncomingMessage): void {
    if (!this.outgoingRequest.writableFinished) {
      // The upstream responded before it had read the whole request, so the
      // connection can't be reused for another request.
      response.socket.destroy();
    }
    this.finish();
    this.listener.onComplete();
  }

  /** Fails because no connection was established. */
  private failUnsent(reason: string): void {
    const {NotSent, ConnectionRefused, ProxyFailed} = CallFailure;
    const {isProxied, observer} = this.upstreamRequest;
    if (this.hasEnded) {
      return;
    }
    observer.onConnectFailed(this.connectTimedOut);
    const ownFailure = reason === 'ECONNREFUSED' ? ConnectionRefused : NotSent;
    this.fail(isProxied ? ProxyFailed : ownFailure, reason);
  }

  private fail(failure: CallFailure, reason: string): void {
    if (this.hasEnded) {
      return;
    }
    this.finish();
    this.outgoingRequest.destroy();
    this.listener.onFailure(failure, reason);
  }

  private finish(): void {
    this.hasEnded = true;
    clearTimeout(this.connectTimer);
    this.upstreamRequest.observer.onEnded();
  }
}
