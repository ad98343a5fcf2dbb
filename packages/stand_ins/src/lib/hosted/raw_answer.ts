/** Answers as they are written to a connection, past the HTTP library. */
import {STATUS_CODES} from 'node:http';

/** Returns the headers that say that a server did not execute a request. */
export function refusalHeaders(requestId: string): Record<string, string> {
  return {'X-Not-Executed': '1', 'X-Request-Id': requestId};
}

/** Returns a whole answer; its length is added to the headers. */
export function formatAnswer(
  status: number,
  headers: Readonly<Record<string, string>>,
  body = '',
): string {
  const lines = Object.entries({
    ...headers,
    'Content-Length': Buffer.byteLength(body),
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  const reason = STATUS_CODES[status] ?? '';
  return `HTTP/1.1 ${status} ${reason}\r\n${lines.join('')}\r\n${body}`;
}
