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
  Lost = 'lost',
  /** What came back is no answer to this request; it may have run. */
  Spoiled = 'spoiled',
}

/** The head of an answer with its headers as received. */
export interface ReceivedHead {
  status: number;
  raw: readonly string[];
  head: AnswerHead;
  /** Whether the end of the connection alone marks the end of the body. */
  unframed: boolean;
}

/** What a call tells its owner. After `done` or `failed` nothing follows. */
export interface CallOwner {
  head(received: ReceivedHead): void;
  data(bytes: Buffer): void;
  done(): void;
  failed(failure: CallFailure, reason: string): void;
}

/** What is sent. */
export interface CallOrder {
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
  private sent = false;
  private ended = false;
  private connectTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly order: CallOrder,
    private readonly dialect: Dialect,
    private readonly owner: CallOwner,
  ) {
    const {method, target, agent, body} = order;
    const headers = {...order.headers};
    if (body.length > 0 || !BODILESS.has(method)) {
      headers['Content-Length'] = body.length;
    }
    this.outgoing = request({
      ...splitAddress(order.address),
      method,
      path: target,
      headers,
      agent,
      setHost: false,
    });
    this.listen();
    this.outgoing.end(body);
  }

  /** Ends the call; the owner hears nothing more. */
  cancel(): void {
    if (!this.ended) {
      this.finish();
      this.outgoing.destroy();
    }
  }

  /** Whether neither an answer nor a failure has come. */
  running(): boolean {
    return !this.ended;
  }

  /** Stops or goes on reading the answer. */
  flow(on: boolean): void {
    if (on) {
      this.incoming?.resume();
    } else {
      this.incoming?.pause();
    }
  }

  private listen(): void {
    const {outgoing} = this;
    outgoing.on('socket', socket => {
      if (!socket.connecting) {
        this.sent = true;
        return;
      }
      this.connectTimer = setTimeout(() => {
        this.fail(CallFailure.NotSent, 'connect timeout');
      }, CONNECT_TIMEOUT);
      socket.once('connect', () => {
        this.sent = true;
        clearTimeout(this.connectTimer);
      });
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      const failure = this.sent ? CallFailure.Lost : CallFailure.NotSent;
      this.fail(failure, error.code ?? error.message);
    });
    outgoing.on('response', incoming => this.respond(incoming));
  }

  private respond(incoming: IncomingMessage): void {
    this.incoming = incoming;
    const status = incoming.statusCode ?? 0;
    const head = this.dialect.parseAnswerHead(status, incoming.headers);
    if (head.notExecuted) {
      incoming.resume();
      this.finish();
      const {NotExecuted, Replaced} = CallFailure;
      const failure = head.isMisdirected ? Replaced : NotExecuted;
      this.owner.failed(failure, `status ${status}`);
      return;
    }
    const fault = faultOf(head, status, this.order.requestId);
    if (fault !== undefined) {
      this.fail(CallFailure.Spoiled, fault);
      return;
    }
    incoming.on('data', (bytes: Buffer) => {
      if (!this.ended) {
        this.owner.data(bytes);
      }
    });
    incoming.on('end', () => this.end(incoming));
    incoming.on('error', error => this.fail(CallFailure.Lost, error.message));
    incoming.on('close', () => this.fail(CallFailure.Lost, 'cut'));
    const {headers, rawHeaders} = incoming;
    const unframed =
      headers['content-length'] === undefined &&
      headers['transfer-encoding'] === undefined;
    this.owner.head({status, raw: rawHeaders, head, unframed});
  }

  private end(incoming: IncomingMessage): void {
    if (this.ended) {
      return;
    }
    if (!incoming.complete) {
      this.fail(CallFailure.Lost, 'incomplete');
      return;
    }
    if (!this.outgoing.writableFinished) {
      // Answered before the body was read: the connection can't be kept.
      incoming.socket.destroy();
    }
    this.finish();
    this.owner.done();
  }

  private fail(failure: CallFailure, reason: string): void {
    if (this.ended) {
      return;
    }
    this.finish();
    this.outgoing.destroy();
    this.owner.failed(failure, reason);
  }

  private finish(): void {
    this.ended = true;
    clearTimeout(this.connectTimer);
  }
}

/** Least status of a final answer. */
const LEAST_STATUS = 200;

/** Least status above those of a success. */
const LEAST_REDIRECT = 300;

/** Methods whose requests usually have no body. */
const BODILESS = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS']);

/** Why an answer can't be the upstream's own answer to this request. */
function faultOf(
  head: AnswerHead,
  status: number,
  requestId: string,
): string | undefined {
  if (head.requestId !== requestId) {
    return 'answer of another request';
  }
  if (status < LEAST_STATUS) {
    return 'no final status';
  }
  if (head.hasContentEncoding) {
    return 'encoded body';
  }
  const success = status < LEAST_REDIRECT;
  return success && !head.hasSeal ? 'success without a seal' : undefined;
}
