/** A caller of the users' platform. */
import {request} from 'node:http';
import type {Agent} from 'node:http';

/** Names that the operator of the tests uses. */
export const HOST = 'desk.example';
export const API_KEY = 'key-of-club';
export const ACCOUNT = 'club';

/** What a caller got. */
export interface CallerResult {
  /** 0 if the connection ended without a head. */
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** Identifier that the answer bears; undefined without one. */
  requestId: string | undefined;
  /** Whether the answer bears the signature of an upstream. */
  hasSeal: boolean;
  /** Whether the answer was framed as complete. */
  complete: boolean;
  /** When the answer, or the connection, had ended. */
  endedAt: number;
  /** Whether the body had a length or chunks. */
  hasFraming: boolean;
}

/** Headers of a caller's request for a token stream. */
export function tokenStreamHeaders(
  inputTokens: number,
  maxOutputTokens: number,
): Record<string, string> {
  return {
    'X-Token-Usage': `${inputTokens},${maxOutputTokens}`,
    'X-Prompt-Prefix': `a1:${inputTokens - 10},b2:10`,
    'X-Model': 'm',
  };
}

let requestCount = 0;

/** Makes one call and reads what comes. */
export function call(
  address: string,
  options: {
    path: string;
    method?: string;
    headers?: Record<string, string>;
    body?: string;
    /** Leaves after this time. */
    disconnectAfterMs?: number;
    /** Connections to use again; a new one without. */
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
      setTimeout(() => clientRequest.destroy(), options.disconnectAfterMs);
    }
    clientRequest.on('error', () => {
      result.endedAt = Date.now();
      resolve(result);
    });
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
        result.complete = response.complete;
        result.endedAt = Date.now();
        resolve(result);
      });
    });
    clientRequest.end(options.body);
  });
}
