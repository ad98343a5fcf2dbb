/** Small helpers around Node's http, shared by clients and listeners. */
import {request} from 'node:http';
import type {Agent, IncomingMessage, OutgoingHttpHeaders} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';

/** What became of one HTTP call. */
export enum CallOutcome {
  Answered = 'answered',
  /** No byte reached the other side. */
  NotSent = 'not-sent',
  /** Sent, and no whole answer came back. */
  Lost = 'lost',
}

/** A call to an address. */
export interface Call {
  /** Address as `ip:port`. */
  address: string;
  method: string;
  path: string;
  headers?: OutgoingHttpHeaders;
  body?: string | Buffer | undefined;
  timeout: Millis;
  agent?: Agent | undefined;
  signal?: AbortSignal | undefined;
  /** Most bytes of an answer that are read. */
  mostBytes?: number;
}

/** The result of one HTTP call. */
export type CallResult =
  | {
      outcome: CallOutcome.Answered;
      status: number;
      headers: IncomingMessage['headers'];
      body: Buffer;
    }
  | {outcome: CallOutcome.NotSent | CallOutcome.Lost; reason: string};

/** Largest answer that is read when the call sets no other bound, in bytes. */
const MOST_BYTES = 4 * 1024 * 1024;

/** Largest request body read by listeners, in bytes. */
export const MOST_REQUEST_BYTES = 1024 * 1024;

/** Splits `ip:port`. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

/** Errors raised before a connection stood. */
const UNCONNECTED = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Makes one HTTP call and reads its whole answer. */
export function call(options: Call): Promise<CallResult> {
  return new Promise(resolve => {
    let sent = false;
    const lose = (reason: string) => {
      clearTimeout(timer);
      const outcome = sent ? CallOutcome.Lost : CallOutcome.NotSent;
      resolve({outcome, reason});
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
    outgoing.on('socket', socket => {
      // On a kept connection bytes leave at once; on a new one at 'connect'.
      if (socket.connecting) {
        socket.once('connect', () => (sent = true));
      } else {
        sent = true;
      }
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      sent &&= !UNCONNECTED.has(error.code ?? '');
      lose(error.code ?? error.message);
    });
    outgoing.on('response', incoming => {
      readBody(incoming, options.mostBytes ?? MOST_BYTES).then(
        body => {
          clearTimeout(timer);
          const status = incoming.statusCode ?? 0;
          const {headers} = incoming;
          resolve({outcome: CallOutcome.Answered, status, headers, body});
        },
        (error: Error) => {
          outgoing.destroy();
          lose(error.message);
        },
      );
    });
    outgoing.end(options.body);
  });
}

/** Raised by `readBody` for a body above the bound. */
export class BodyTooLarge extends Error {}

/** Reads a whole body of at most `most` bytes. */
export function readBody(
  incoming: IncomingMessage,
  most: number,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > most) {
        incoming.pause();
        reject(new BodyTooLarge('body too large'));
        return;
      }
      chunks.push(chunk);
    });
    incoming.on('end', () => resolve(Buffer.concat(chunks)));
    incoming.on('error', reject);
    incoming.on('close', () => {
      if (!incoming.complete) {
        reject(new Error('cut'));
      }
    });
  });
}
