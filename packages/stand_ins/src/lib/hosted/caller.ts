/** HTTP client that calls gateways on the hosted platform. */
import {request} from 'node:http';
import {isCutOff, observeConnectionEnd} from '@citrontrestle/runtime';
import type {Agent} from 'node:http';

/** Host name of the routes in the operator's configuration. */
export const HOST = 'desk.example';
/** API key of `ACCOUNT` in the operator's configuration. */
export const API_KEY = 'key-of-club';
/** Name of the client account in the operator's configuration. */
export const ACCOUNT = 'club';

/** What a caller received. */
export interface CallerResult {
  /** Status code; 0 if the connection ended before the header was complete. */
  status: number;
  headers: Record<string, string | string[] | undefined>;
  /** Body, decoded as Latin-1. */
  body: string;
  /** Request identifier in the answer; undefined if it has none. */
  requestId: string | undefined;
  /** Whether the answer carries an upstream's signature, X-Response-Seal. */
  hasSeal: boolean;
  /** Whether the whole answer was received, according to its HTTP framing. */
  complete: boolean;
  /**
   * Time when the answer or the connection ended, in milliseconds since the
   * epoch.
   */
  endedAt: number;
  /** Whether the caller disconnected before the answer had ended. */
  hasLeft: boolean;
  /** Whether the answer has a Content-Length or a Transfer-Encoding header. */
  hasFraming: boolean;
}

/** Returns the headers with which a caller requests a token stream. */
export function tokenStreamHeaders(
  inputTokens: number,
  maxOutputTokens: number,
): Record<string, string> {
  return {
    'X-Token-Usage': `${inputTokens},${maxOutputTokens}`,
    ...promptHeaders([
      ['a1', inputTokens - 10],
      ['b2', 10],
    ]),
    'X-Model': 'm',
  };
}

/** Returns the headers that name the parts of a prompt and their tokens. */
export function promptHeaders(
  parts: readonly (readonly [id: string, tokens: number])[],
): Record<string, string> {
  return {
    'X-Prompt-Prefix': parts.map(part => part.join(':')).join(','),
  };
}

/** Returns the identifiers of the events that a caller got whole, in order. */
export function completeEventIds({body}: Pick<CallerResult, 'body'>): number[] {
  const events = body.matchAll(
    /^id: (\d+)\ndata: token \d+(?: more)*(?: of \S+)?\n\n/gm,
  );
  return [...events].map(match => Number(match[1]));
}

let requestCount = 0;

/**
 * Sends one request and reads the answer. Resolves also if the connection
 * fails, with what was received until then.
 */
export function call(
  address: string,
  options: {
    path: string;
    method?: string;
    headers?: Record<string, string>;
    body?: string;
    /** Time after which the caller closes the connection, in milliseconds. */
    disconnectAfterMs?: number;
    /** Whether it then resets the connection in place of closing it. */
    resets?: boolean;
    /** Pool of connections; without one, the call opens a new connection. */
    agent?: Agent;
  },
): Promise<CallerResult> {
  requestCount += 1;
  const [host, port] = address.split(':');
  const result: CallerResult = {
    status: 0,
    headers: {},
    body: '',
    requestId: undefined,
    hasSeal: false,
    complete: false,
    endedAt: 0,
    hasLeft: false,
    hasFraming: false,
  };
  return new Promise(resolve => {
    const clientRequest = request({
      host,
      port: Number(port),
      path: options.path,
      method: options.method ?? 'GET',
      agent: options.agent ?? false,
      headers: {
        Host: HOST,
        'X-Request-Id': `request-${requestCount}`,
        'X-Request-Deadline-Ms': '3000',
        Authorization: `Bearer ${API_KEY}`,
        ...options.headers,
      },
    });
    if (options.disconnectAfterMs !== undefined) {
      setTimeout(() => {
        result.hasLeft = result.endedAt === 0;
        if (options.resets === true) {
          clientRequest.socket?.resetAndDestroy();
        }
        clientRequest.destroy();
      }, options.disconnectAfterMs);
    }
    const finish = (isComplete: boolean) => {
      // Node ends a response without a length also after a reset, as if it were
      // complete; the error that tells of the reset comes first.
      if (result.endedAt === 0) {
        result.endedAt = Date.now();
        result.complete = isComplete;
        resolve(result);
      }
    };
    observeConnectionEnd(clientRequest);
    clientRequest.on('error', () => finish(false));
    clientRequest.on('response', response => {
      result.status = response.statusCode ?? 0;
      result.headers = response.headers;
      result.requestId = response.headers['x-request-id']?.toString();
      result.hasSeal = response.headers['x-response-seal'] !== undefined;
      result.hasFraming =
        response.headers['content-length'] !== undefined ||
        response.headers['transfer-encoding'] !== undefined;
      response.on('data', (bytes: Buffer) => {
        result.body += bytes.toString('latin1');
      });
      response.on('error', () => undefined);
      response.on('close', () => {
        finish(response.complete && !isCutOff(response));
      });
    });
    clientRequest.end(options.body);
  });
}
