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
  sealed: boolean;
  /** Whether the answer was framed as complete. */
  complete: boolean;
  /** When the answer, or the connection, had ended. */
  endedAt: number;
  /** Whether the body had a length or chunks. */
  framed: boolean;
}

/** Headers of a caller's request for a token stream. */
export function tokens(input: number, most: number): Record<string, string> {
  return {
    'X-Token-Usage': `${input},${most}`,
    'X-Prompt-Prefix': `a1:${input - 10},b2:10`,
    'X-Model': 'm',
  };
}

let requests = 0;

/** Makes one call and reads what comes. */
export function call(
  address: string,
  options: {
    path: string;
    method?: string;
    headers?: Record<string, string>;
    body?: string;
    /** Leaves after this time. */
    leaveAfter?: number;
    /** Connections to use again; a new one without. */
    agent?: Agent;
  },
): Promise<CallerResult> {
  requests += 1;
  const [host, port] = address.split(':');
  const result: CallerResult = {
    status: 0,
    headers: {},
    body: '',
    requestId: undefined,
    sealed: false,
    complete: false,
    endedAt: 0,
    framed: false,
  };
  return new Promise(resolve => {
    const outgoing = request({
      host,
      port: Number(port),
      path: options.path,
      method: options.method ?? 'GET',
      agent: options.agent ?? false,
      headers: {
        Host: HOST,
        'X-Request-Id': `request-${requests}`,
        'X-Request-Deadline-Ms': '3000',
        Authorization: `Bearer ${API_KEY}`,
        ...options.headers,
      },
    });
    if (options.leaveAfter !== undefined) {
      setTimeout(() => outgoing.destroy(), options.leaveAfter);
    }
    outgoing.on('error', () => {
      result.endedAt = Date.now();
      resolve(result);
    });
    outgoing.on('response', incoming => {
      result.status = incoming.statusCode ?? 0;
      result.headers = incoming.headers;
      result.requestId = incoming.headers['x-request-id']?.toString();
      result.sealed = incoming.headers['x-response-seal'] !== undefined;
      result.framed =
        incoming.headers['content-length'] !== undefined ||
        incoming.headers['transfer-encoding'] !== undefined;
      incoming.on('data', (bytes: Buffer) => {
        result.body += bytes.toString('latin1');
      });
      incoming.on('error', () => undefined);
      incoming.on('close', () => {
        result.complete = incoming.complete;
        result.endedAt = Date.now();
        resolve(result);
      });
    });
    outgoing.end(options.body);
  });
}
