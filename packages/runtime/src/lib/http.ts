/** HTTP helpers shared by clients and listeners. */
import {request} from 'node:http';
import {isCutOff, observeConnectionEnd} from './connection_end.js';
import type {Agent, IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';

/** Outcome of an HTTP request. */
export enum HttpOutcome {
  Answered = 'answered',
  /** Nothing was sent to the server. */
  NotSent = 'not-sent',
  /** It may have been sent, but no complete answer was received. */
  NoAnswer = 'lost',
  /** The body of the answer exceeds the maximum size; it was not read. */
  AnswerTooLarge = 'too-large',
}

/** An HTTP request to an address. */
export interface HttpRequest {
  /** Address as `ip:port`. */
  address: string;
  method: string;
  path: string;
  headers?: OutgoingHttpHeaders;
  body?: string | Buffer | undefined;
  timeout: Millis;
  agent?: Agent | undefined;
  signal?: AbortSignal | undefined;
  /** Maximum size of the answer's body, in bytes. */
  maxBodyBytes?: number;
}

/** Result of an HTTP request: the answer, or why there is none. */
export type HttpResult =
  | {
      outcome: HttpOutcome.Answered;
      status: number;
      headers: IncomingMessage['headers'];
      body: Buffer;
    }
  | {
      outcome:
        HttpOutcome.NotSent | HttpOutcome.NoAnswer | HttpOutcome.AnswerTooLarge;
      reason: string;
    };

/** Default maximum size of an answer's body, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Maximum number of interim responses before the final one. */
export const MAX_INTERIM_RESPONSES = 16;

/** Maximum size of a request body that listeners read, in bytes. */
export const MAX_REQUEST_BYTES = 1024 * 1024;

/** Splits an address `ip:port` at its last colon. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

const MAX_PORT = 65_535;

/**
 * Whether a text is an address `host:port` with a valid port. Connecting to
 * another port throws an error.
 */
export function isAddress(text: string): boolean {
  const {port} = splitAddress(text);
  return /^[^\s]+:[0-9]{1,5}$/.test(text) && port > 0 && port <= MAX_PORT;
}

/** Sends an HTTP request and reads the whole answer; failures are results. */
export function sendHttpRequest(options: HttpRequest): Promise<HttpResult> {
  return new Promise(resolve => {
    let mayHaveBeenSent = false;
    const resolveFailure = (error: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      const {AnswerTooLarge, NoAnswer, NotSent} = HttpOutcome;
      const lost = mayHaveBeenSent ? NoAnswer : NotSent;
      const outcome =
        error instanceof BodyTooLargeError ? AnswerTooLarge : lost;
      resolve({outcome, reason: error.code ?? error.message});
    };
    const outgoing = request({
      ...splitAddress(options.address),
      method: options.method,
      path: options.path,
      headers: options.headers ?? {},
      agent: options.agent,
      signal: options.signal,
    });
    const timer = setTimeout(() => {
      outgoing.destroy(new Error('timeout'));
    }, options.timeout);
    observeConnectionEnd(outgoing);
    outgoing.on('socket', socket => {
      // A reused connection sends at once, a new one after 'connect'.
      if (socket.connecting) {
        socket.once('connect', () => (mayHaveBeenSent = true));
      } else {
        mayHaveBeenSent = true;
      }
    });
    outgoing.on('error', resolveFailure);
    let interimResponses = 0;
    outgoing.on('information', () => {
      interimResponses += 1;
      if (interimResponses > MAX_INTERIM_RESPONSES) {
        outgoing.destroy(new Error('too many interim responses'));
      }
    });
    outgoing.on('response', incoming => {
      readBody(incoming, options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES).then(
        body => {
          clearTimeout(timer);
          const status = incoming.statusCode ?? 0;
          const {headers} = incoming;
          resolve({outcome: HttpOutcome.Answered, status, headers, body});
        },
        (error: Error) => {
          outgoing.destroy();
          resolveFailure(error);
        },
      );
    });
    outgoing.end(options.body);
  });
}

/** Maximum time to read a body that is discarded. */
const MAX_DISCARD_TIME: Millis = 1_000;

/** Reads the rest of an answer; closes the connection if that takes too long. */
export function discardBody(incoming: IncomingMessage): void {
  const timer = setTimeout(() => incoming.destroy(), MAX_DISCARD_TIME);
  incoming.on('close', () => clearTimeout(timer));
  incoming.resume();
}

/** Thrown by `readBody` if the body exceeds the maximum size. */
export class BodyTooLargeError extends Error {}

/** Thrown by `readBody` if there is no room for more bytes. */
export class NoRoomError extends Error {}

/**
 * Reads a body; rejects if it is incomplete, larger than `maxBytes`, or if
 * `tryHold` refuses to keep the next bytes. That of a response may be incomplete
 * unnoticed unless the end of its connection is observed.
 */
export function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
  tryHold: (bytes: number) => boolean = () => true,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const stopWith = (error: Error) => {
      incoming.off('data', onData);
      incoming.pause();
      chunks.length = 0;
      reject(error);
    };
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        stopWith(new BodyTooLargeError('body exceeds the maximum size'));
      } else if (!tryHold(chunk.length)) {
        stopWith(new NoRoomError('no room for more bytes'));
      } else {
        chunks.push(chunk);
      }
    };
    incoming.on('data', onData);
    incoming.on('end', () => {
      if (isCutOff(incoming)) {
        reject(new Error('connection reset at the end of the body'));
      } else {
        resolve(Buffer.concat(chunks));
      }
    });
    incoming.on('error', reject);
    incoming.on('close', () => {
      if (!incoming.complete) {
        reject(new Error('connection closed before the end of the body'));
      }
    });
  });
}
