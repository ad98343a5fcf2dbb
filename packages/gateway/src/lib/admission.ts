/** Which route, account and reservation apply to a request that was read. */
import {shortDigest} from '@citrontrestle/runtime';
import {RefusalReason} from './refusal.js';
import type {CallerRequest, Dialect} from './ports.js';
import type {BufferedRequest} from './front_server.js';
import type {
  Clock,
  Millis,
  PrepaidAccount,
  Route,
  RouteTable,
} from '@citrontrestle/decisions';

/** Bytes of a request's head, roughly. */
export const ESTIMATED_HEAD_BYTES = 600;

/** A request that has been read and has a route and an account. */
export interface AdmittedRequest {
  callerRequest: CallerRequest;
  method: string;
  /** Path with query as received. */
  target: string;
  rawHeaders: readonly string[];
  body: Buffer;
  route: Route;
  account: PrepaidAccount | undefined;
  arrivedAt: Millis;
  /** Digest of what the caller asks for, without its identifier. */
  fingerprint: string;
}

/** An admitted request, or why it is refused. */
export type AdmissionOutcome =
  | {ok: true; request: AdmittedRequest}
  | {ok: false; reason: RefusalReason; id: string};

/** Looks a request up in the configuration in force. */
export function admit(
  {incoming, body}: BufferedRequest,
  table: RouteTable,
  dialect: Dialect,
  clock: Clock,
): AdmissionOutcome {
  const method = incoming.method ?? '';
  const target = incoming.url ?? '';
  const callerRequest = dialect.parseCallerRequest(
    method,
    target,
    incoming.headers,
  );
  const {id} = callerRequest;
  if (table.configuration() === undefined) {
    return {ok: false, reason: RefusalReason.NoConfiguration, id};
  }
  if (id === '') {
    return {ok: false, reason: RefusalReason.BadRequest, id};
  }
  const route = table.findRoute(callerRequest.host, callerRequest.path);
  if (route === undefined) {
    return {ok: false, reason: RefusalReason.NoRoute, id};
  }
  const keyOwner = table.findAccount(callerRequest.apiKey ?? '');
  if (!route.isPublic && keyOwner === undefined) {
    return {ok: false, reason: RefusalReason.NoAccount, id};
  }
  const account = route.isPublic ? undefined : keyOwner;
  const {rawHeaders} = incoming;
  const arrivedAt = clock.now();
  const accountName = account?.name ?? '';
  const bodyText = body.toString('latin1');
  const fingerprint = shortDigest(method, target, accountName, bodyText);
  const request = {
    callerRequest,
    method,
    target,
    rawHeaders,
    body,
    route,
    account,
    arrivedAt,
    fingerprint,
  };
  return {ok: true, request};
}

/** Tokens that a request may consume at its most; 0 if none are counted. */
export function tokensToReserve({
  callerRequest,
  account,
}: AdmittedRequest): number {
  const {usage} = callerRequest;
  const isCounted = account?.grantedTokens !== undefined && usage !== undefined;
  return isCounted ? usage.inputTokens + usage.maxOutputTokens : 0;
}
