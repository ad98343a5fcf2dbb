/** The heads of upstreams' responses, and whether they can be the upstream's own. */
import {isDelimitedByClose} from '@citrontrestle/runtime';
import {isMarkedCloseDelimited, withoutPeerHeaders} from './proxy_protocol.js';
import type {UpstreamResponseHead} from '../process/ports.js';
import type {IncomingMessage} from 'node:http';

/** The head of an upstream's response, as received and as parsed. */
export interface ReceivedHead {
  status: number;
  /** Names and values of the headers in turn, as received. */
  rawHeaders: readonly string[];
  /** The status and headers as parsed by the dialect. */
  head: UpstreamResponseHead;
  /** Media type of the body in lower case, without parameters; may be empty. */
  mediaType: string;
  /**
   * Whether only the end of the connection marks the end of the body, as the
   * response has neither a length nor chunks.
   */
  isCloseDelimited: boolean;
}

/** Lowest HTTP status of a final response; lower ones are informational. */
const MIN_FINAL_STATUS = 200;

/** Highest HTTP status. */
const MAX_STATUS = 599;

/** Lowest HTTP status above those that mean success. */
const MIN_REDIRECT_STATUS = 300;

/** Statuses of responses that never have a body. */
const BODILESS_STATUSES = new Set([204, 304]);

/** What is to be known of a request to read the head of its response. */
interface SentRequest {
  method: string;
  /** Whether a peer forwarded it. */
  isProxied: boolean;
}

/** Returns the head of a response, without the headers that are a peer's own. */
export function receivedHeadOf(
  response: IncomingMessage,
  head: UpstreamResponseHead,
  {method, isProxied}: SentRequest,
): ReceivedHead {
  const {headers, rawHeaders} = response;
  const status = response.statusCode ?? 0;
  const isMarked = isProxied && isMarkedCloseDelimited(headers);
  const isBodiless = method === 'HEAD' || BODILESS_STATUSES.has(status);
  return {
    status,
    rawHeaders: isProxied ? withoutPeerHeaders(rawHeaders) : rawHeaders,
    head,
    mediaType: parseMediaType(headers['content-type']),
    isCloseDelimited: isMarked || (!isBodiless && isDelimitedByClose(response)),
  };
}

/** Whether a status is that of a final response; HTTP knows no other classes. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}

/** Whether a final status means success. */
export function isSuccess(status: number): boolean {
  return status < MIN_REDIRECT_STATUS;
}

/**
 * Returns why a response to this request can't be the upstream's own; undefined
 * if it can.
 */
export function findResponseFault(
  head: UpstreamResponseHead,
  status: number,
): string | undefined {
  if (head.isContradictory) {
    return 'response states both that it ran and that it did not';
  }
  if (head.hasContentEncoding) {
    return 'response body has a content encoding';
  }
  return isSuccess(status) && !head.hasSeal
    ? 'successful response has no seal'
    : undefined;
}

/** Returns the media type that a `Content-Type` header names. */
function parseMediaType(contentType = ''): string {
  const [mediaType = ''] = contentType.split(';');
  return mediaType.trim().toLowerCase();
}
