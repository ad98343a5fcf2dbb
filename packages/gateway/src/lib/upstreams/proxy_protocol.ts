/**
 * Headers of the HTTP requests that an instance sends to a peer, which forwards
 * them to an upstream, and of the peer's responses. Method, target, body and all
 * other headers are those of the request to the upstream, and a response is that
 * of the upstream unless it states a failure.
 */
import {createHmac} from 'node:crypto';
import {forwardedHeaders, secretsEqual} from '@citrontrestle/runtime';
import {CallFailure} from '../requests/call_failure.js';
import type {Millis} from '@citrontrestle/decisions';
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

/** What a peer is to do with a request. */
export interface ProxyOrder {
  /** Identifier of the upstream that gets the request. */
  upstreamId: string;
  /** Identifier of the request, which the response must carry. */
  requestId: string;
  /** Time that remains until the deadline of the request. */
  remainingTime: Millis;
}

/** Why a peer has no response of the upstream. */
export interface ProxyFailure {
  failure: CallFailure;
  reason: string;
}

/** A failure as a peer states it. */
export interface StatedFailure extends ProxyFailure {
  /** The request that failed; undefined if an earlier version states it. */
  requestId: string | undefined;
}

/** Names of the headers, in lower case. */
const UPSTREAM_HEADER = 'citrontrestle-upstream';
const REQUEST_HEADER = 'citrontrestle-request';
const REMAINING_HEADER = 'citrontrestle-remaining-ms';
const PROOF_HEADER = 'citrontrestle-proof';
/** Set by instances that understand `CLOSE_DELIMITED_HEADER`. */
const FRAMING_HEADER = 'citrontrestle-framing';
const CLOSE_DELIMITED_HEADER = 'citrontrestle-close-delimited';
const FAILURE_HEADER = 'citrontrestle-failure';
const REASON_HEADER = 'citrontrestle-reason';

/** Headers that the upstream does not get. */
const ORDER_HEADERS = new Set([
  UPSTREAM_HEADER,
  REQUEST_HEADER,
  REMAINING_HEADER,
  PROOF_HEADER,
  FRAMING_HEADER,
  // The call to the upstream sets it.
  'content-length',
]);

/** Headers of a peer's response that are the peer's own. */
const PEER_HEADERS = new Set([
  REQUEST_HEADER,
  FAILURE_HEADER,
  REASON_HEADER,
  CLOSE_DELIMITED_HEADER,
]);

const CALL_FAILURES = new Map<string, CallFailure>(
  Object.values(CallFailure).map(failure => [failure, failure]),
);

/** Characters that a header must not contain. */
const UNSAFE_CHARACTERS = /[^\x20-\x7e]/g;

/** Returns the headers that tell a peer what to do with a request. */
export function orderHeaders(
  order: ProxyOrder,
  target: string,
  fleetKey: string,
): OutgoingHttpHeaders {
  return {
    [UPSTREAM_HEADER]: order.upstreamId,
    [REQUEST_HEADER]: order.requestId,
    [REMAINING_HEADER]: String(Math.floor(order.remainingTime)),
    [PROOF_HEADER]: computeProof(order, target, fleetKey),
    [FRAMING_HEADER]: 'chunks',
  };
}

/**
 * Whether the sender of a request wants an upstream's response without a length
 * in chunks, so that an end of this process does not look like its end. Earlier
 * versions of the gateway do not.
 */
export function wantsChunks(headers: IncomingHttpHeaders): boolean {
  return headers[FRAMING_HEADER] === 'chunks';
}

/** Returns the header of a response whose upstream gave it no length. */
export function closeDelimitedHeaders(): OutgoingHttpHeaders {
  return {[CLOSE_DELIMITED_HEADER]: '1'};
}

/** Whether a peer states that the upstream gave its response no length. */
export function isMarkedCloseDelimited(headers: IncomingHttpHeaders): boolean {
  return headers[CLOSE_DELIMITED_HEADER] !== undefined;
}

/** Returns the headers of a response without those that are a peer's own. */
export function withoutPeerHeaders(rawHeaders: readonly string[]): string[] {
  return rawHeaders.filter((_, index) => {
    const name = rawHeaders[index - (index % 2)] ?? '';
    return !PEER_HEADERS.has(name.toLowerCase());
  });
}

/**
 * Parses what to do with a request; undefined if the sender does not prove that
 * it holds the fleet key.
 */
export function parseOrder(
  headers: IncomingHttpHeaders,
  target: string,
  fleetKey: string,
): ProxyOrder | undefined {
  const order = {
    upstreamId: headerText(headers, UPSTREAM_HEADER),
    requestId: headerText(headers, REQUEST_HEADER),
    remainingTime: Number(headerText(headers, REMAINING_HEADER)),
  };
  const proof = headerText(headers, PROOF_HEADER);
  const isValid =
    Number.isFinite(order.remainingTime) &&
    secretsEqual(proof, computeProof(order, target, fleetKey));
  return isValid ? order : undefined;
}

/** Returns the headers of a peer's request that the upstream gets. */
export function headersForUpstream(
  rawHeaders: readonly string[],
): OutgoingHttpHeaders {
  return forwardedHeaders(rawHeaders, ORDER_HEADERS);
}

/** Returns the headers that state why there is no response of the upstream. */
export function failureHeaders(
  {failure, reason}: ProxyFailure,
  requestId: string,
): OutgoingHttpHeaders {
  return {
    [REQUEST_HEADER]: requestId,
    [FAILURE_HEADER]: failure,
    [REASON_HEADER]: reason.replace(UNSAFE_CHARACTERS, '?'),
  };
}

/** Parses the failure in a peer's response; undefined if it states none. */
export function parseFailure(
  headers: IncomingHttpHeaders,
): StatedFailure | undefined {
  const text = headerText(headers, FAILURE_HEADER);
  if (text === '') {
    return undefined;
  }
  // The request may have run if the failure is of a kind that came later.
  const failure = CALL_FAILURES.get(text) ?? CallFailure.ResponseLost;
  const requestId = headerText(headers, REQUEST_HEADER) || undefined;
  return {failure, reason: headerText(headers, REASON_HEADER), requestId};
}

/** Proves the fleet key for one request. */
function computeProof(
  {upstreamId, requestId}: ProxyOrder,
  target: string,
  fleetKey: string,
): string {
  return createHmac('sha256', fleetKey)
    .update(JSON.stringify([upstreamId, requestId, target]))
    .digest('hex');
}

function headerText(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return Array.isArray(value) ? (value[0] ?? '') : (value ?? '');
}
