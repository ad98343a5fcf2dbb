/** One request to one upstream on the wire. */
import {request} from 'node:http';
import {splitAddress} from '@citrontrestle/runtime';
import type {AnswerHead, Dialect} from './ports.js';
import type {Agent, IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';

/** How a call can fail. */
export enum CallFailure {
  /** No byte of the request left. */
  NotSent = 'not-sent',
  /** The upstream states that it did not run the request. */
  NotExecuted = 'not-executed',
  /** Another incarnation has the address; the request did not run. */
  Replaced = 'replaced',
  /** Sent, and no whole answer came back; it may have run. */
  ResponseLost = 'lost',
  /** What came back is no answer to this request; it may have run. */
  InvalidResponse = 'spoiled',
}

/** The head of an answer with its headers as received. */
export interface ReceivedHead {
  status: number;
  rawHeaders: readonly string[];
  head: AnswerHead;
  /** Whether the end of the connection alone marks the end of the body. */
  isCloseDelimited: boolean;
}

/** What a call tells its owner. After `done` or `failed` nothing follows. */
export interface UpstreamCallListener {
  onHead(receivedHead: ReceivedHead): void;
  onData(chunk: Buffer): void;
  onComplete(): void;
  onFailure(failure: CallFailure, reason: string): void;
}

/** What is sent. */
export interface UpstreamRequest {
  /** Address as `ip:port`. */
  address: string;
  method: string;
  target: string;
  headers: OutgoingHttpHeaders;
  body: Buffer;
  /** Identifier that the answer must bear. */
  requestId: string;
  agent: Agent;
}

/** Longest time until a new connection stands. */
const CONNECT_TIMEOUT: Millis = 300;

/** A running call. */
export class UpstreamCall {
  private readonly outgoing;
  private incoming: IncomingMessage | undefined;
  private mayHaveSent = false;
  private hasEnded = false;
  private connectTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly upstreamRequest: UpstreamRequest,
    private readonly dialect: Dialect,
    private readonly listener: UpstreamCallListener,
  ) {
    const {method, target, agent, body} = upstreamRequest;
    const headers = {...upstreamRequest.headers};
    if (body.length > 0 || !METHODS_WITHOUT_BODY.has(method)) {
      headers['Content-Length'] = body.length;
    }
    this.outgoing = request({
      ...splitAddress(upstreamRequest.address),
      method,
      path: target,
      headers,
      agent,
      setHost: false,
    });
    this.attachHandlers();
    this.outgoing.end(body);
  }

  /** Ends the call; the owner hears nothing more. */
  cancel(): void {
    if (!this.hasEnded) {
      this.finish();
      this.outgoing.destroy();
    }
  }

  /** Whether neither an answer nor a failure has come. */
  isRunning(): boolean {
    return !this.hasEnded;
  }

  /** Stops or goes on reading the answer. */
  setFlowing(isFlowing: boolean): void {
    if (isFlowing) {
      this.incoming?.resume();
    } else {
      this.incoming?.pause();
    }
  }

  private attachHandlers(): void {
    const {outgoing} = this;
    outgoing.on('socket', socket => {
      if (!socket.connecting) {
        this.mayHaveSent = true;
        return;
      }
      this.connectTimer = setTimeout(() => {
        this.fail(CallFailure.NotSent, 'connect timeout');
      }, CONNECT_TIMEOUT);
      socket.once('connect', () => {
        this.mayHaveSent = true;
        clearTimeout(this.connectTimer);
      });
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      const failure = this.mayHaveSent
        ? CallFailure.ResponseLost
        : CallFailure.NotSent;
      this.fail(failure, error.code ?? error.message);
    });
    outgoing.on('response', incoming => this.handleResponse(incoming));
  }

  private handleResponse(incoming: IncomingMessage): void {
    this.incoming = incoming;
    const status = incoming.statusCode ?? 0;
    const head = this.dialect.parseAnswerHead(status, incoming.headers);
    if (head.notExecuted) {
      incoming.resume();
      this.finish();
      const {NotExecuted, Replaced} = CallFailure;
      const failure = head.isMisdirected ? Replaced : NotExecuted;
      this.listener.onFailure(failure, `status ${status}`);
      return;
    }
    const fault = findResponseFault(
      head,
      status,
      this.upstreamRequest.requestId,
    );
    if (fault !== undefined) {
      this.fail(CallFailure.InvalidResponse, fault);
      return;
    }
    incoming.on('data', (chunk: Buffer) => {
      if (!this.hasEnded) {
        this.listener.onData(chunk);
      }
    });
    incoming.on('end', () => this.handleEnd(incoming));
    incoming.on('error', error =>
      this.fail(CallFailure.ResponseLost, error.message),
    );
    incoming.on('close', () => this.fail(CallFailure.ResponseLost, 'cut'));
    const {headers, rawHeaders} = incoming;
    const isCloseDelimited =
      headers['content-length'] === undefined &&
      headers['transfer-encoding'] === undefined;
    this.listener.onHead({status, rawHeaders, head, isCloseDelimited});
  }

  private handleEnd(incoming: IncomingMessage): void {
    if (this.hasEnded) {
      return;
    }
    if (!incoming.complete) {
      this.fail(CallFailure.ResponseLost, 'incomplete');
      return;
    }
    if (!this.outgoing.writableFinished) {
      // Answered before the body was read: the connection can't be kept.
      incoming.socket.destroy();
    }
    this.finish();
    this.listener.onComplete();
  }

  private fail(failure: CallFailure, reason: string): void {
    if (this.hasEnded) {
      return;
    }
    this.finish();
    this.outgoing.destroy();
    this.listener.onFailure(failure, reason);
  }

  private finish(): void {
    this.hasEnded = true;
    clearTimeout(this.connectTimer);
  }
}

/** Least status of a final answer. */
const MIN_FINAL_STATUS = 200;

/** Least status above those of a success. */
const MIN_REDIRECT_STATUS = 300;

/** Methods whose requests usually have no body. */
const METHODS_WITHOUT_BODY = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS']);

/** Why an answer can't be the upstream's own answer to this request. */
function findResponseFault(
  head: AnswerHead,
  status: number,
  requestId: string,
): string | undefined {
  if (head.requestId !== requestId) {
    return 'answer of another request';
  }
  if (status < MIN_FINAL_STATUS) {
    return 'no final status';
  }
  if (head.hasContentEncoding) {
    return 'encoded body';
  }
  const isSuccess = status < MIN_REDIRECT_STATUS;
  return isSuccess && !head.hasSeal ? 'success without a seal' : undefined;
}
