/** Headers that an HTTP intermediary forwards. */
import {isHeaderName, isHeaderValue} from './header_text.js';
import type {OutgoingHttpHeaders} from 'node:http';

/**
 * Headers that are not forwarded: they apply to one connection only (RFC 9110,
 * section 7.6.1) or, like Expect, are handled by the HTTP server.
 */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/**
 * Copies headers except hop-by-hop headers, `excludedNames` (in lower case), and
 * lines that no HTTP message may have, though Node's parser lets some through.
 * Names that differ only in case are merged under the first spelling.
 * @param rawHeaders names and values in turn, as received.
 */
export function forwardedHeaders(
  rawHeaders: readonly string[],
  excludedNames: ReadonlySet<string>,
): OutgoingHttpHeaders {
  const connectionNames = connectionHeaderNames(rawHeaders);
  // Without a prototype, as a header may be named `__proto__`.
  const headers = Object.create(null) as OutgoingHttpHeaders;
  const spellings = new Map<string, string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const value = rawHeaders[index + 1] ?? '';
    const lowerCaseName = name.toLowerCase();
    const isDropped =
      HOP_BY_HOP_HEADERS.has(lowerCaseName) ||
      excludedNames.has(lowerCaseName) ||
      connectionNames.has(lowerCaseName) ||
      !isHeaderName(name) ||
      !isHeaderValue(value);
    if (!isDropped) {
      const spelling = spellings.get(lowerCaseName) ?? name;
      spellings.set(lowerCaseName, spelling);
      headers[spelling] = combinedValues(headers[spelling], value);
    }
  }
  return headers;
}

/** Returns the lower-case names that the Connection headers list. */
function connectionHeaderNames(rawHeaders: readonly string[]): Set<string> {
  const names = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === 'connection') {
      for (const option of (rawHeaders[index + 1] ?? '').split(',')) {
        names.add(option.trim().toLowerCase());
      }
    }
  }
  return names;
}

function combinedValues(
  existing: OutgoingHttpHeaders[string],
  value: string,
): string | string[] {
  if (existing === undefined) {
    return value;
  }
  return Array.isArray(existing)
    ? [...existing, value]
    : [String(existing), value];
}
