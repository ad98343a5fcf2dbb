/**
 * Admission of requests: finds the route and the account of a request and the
 * number of tokens to reserve for it.
 */
import {isRequestTarget, shortDigest} from '@citrontrestle/runtime';
import {Homes} from '@citrontrestle/decisions';
import {RefusalReason} from './refusal.js';
import type {CallerRequest, Dialect} from '../process/ports.js';
import type {BufferedRequest} from './front_server.js';
import type {
  Clock,
  Millis,
  PrepaidAccount,
  PriorityRank,
  PromptPart,
  Regions,
  Route,
  RouteTable,
} from '@citrontrestle/decisions';

/** Estimated size of a request's head, for the traffic on the network link. */
export const ESTIMATED_HEAD_BYTES = 600;

/** Maximum number of shared parts of a prompt that are told apart. */
const MAX_SHARED_PARTS = 60;

/** Maximum length of the identifier of a part that is kept as it is. */
const MAX_PART_LENGTH = 64;

/** A request whose body was read and that has a route. */
export interface AdmittedRequest {
  callerRequest: CallerRequest;
  method: string;
  /** Path with query as received. */
  target: string;
  /** Names and values of the headers in turn, as received. */
  rawHeaders: readonly string[];
  body: Buffer;
  route: Route;
  /** Account of the API key; undefined on public routes. */
  account: PrepaidAccount | undefined;
  /** Rank of its priority: the account's, else the route's. */
  priority: PriorityRank;
  arrivedAt: Millis;
  /**
   * Digest of method, target, account and body. It is the same when a caller
   * sends a request again under another identifier.
   */
  fingerprint: string;
  /**
   * Identifiers of the parts of its prompt but the last, which is its own or
   * that of its session.
   */
  sharedParts: string[];
}

/** An admitted request, or the identifier of a refused one and the reason. */
export type AdmissionOutcome =
  | {ok: true; request: AdmittedRequest}
  | {ok: false; reason: RefusalReason; id: string};

/** Admits or refuses a request according to the current configuration. */
export function admit(
  {incoming, body}: BufferedRequest,
  routeTable: RouteTable,
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
  if (routeTable.configuration() === undefined) {
    return {ok: false, reason: RefusalReason.NoConfiguration, id};
  }
  if (id === '' || !isSendable(target, incoming.rawHeaders)) {
    return {ok: false, reason: RefusalReason.BadRequest, id};
  }
  const route = routeTable.findRoute(callerRequest.host, callerRequest.path);
  if (route === undefined) {
    return {ok: false, reason: RefusalReason.NoRoute, id};
  }
  const keyOwner = routeTable.findAccount(callerRequest.apiKey ?? '');
  if (!route.isPublic && keyOwner === undefined) {
    return {ok: false, reason: RefusalReason.NoAccount, id};
  }
  const account = route.isPublic ? undefined : keyOwner;
  if (account?.isNameUnusable === true) {
    return {ok: false, reason: RefusalReason.AccountUnusable, id};
  }
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
    priority: routeTable.priorityOf(route, account),
    arrivedAt,
    fingerprint,
    sharedParts: sharedPartsOf(callerRequest.promptParts),
  };
  return {ok: true, request};
}

/**
 * Whether a request may be sent on: Node's parser lets tabs in a target and
 * several `Host` headers through.
 */
function isSendable(target: string, rawHeaders: readonly string[]): boolean {
  const hosts = rawHeaders.filter(
    (text, index) => index % 2 === 0 && text.toLowerCase() === 'host',
  );
  return hosts.length <= 1 && isRequestTarget(target);
}

/**
 * Returns the identifiers of the parts of a prompt but the last, as many and as
 * long as a message to the other instances may hold. A long one is replaced by
 * its digest.
 */
export function sharedPartsOf(promptParts: readonly PromptPart[]): string[] {
  return promptParts
    .slice(0, -1)
    .slice(0, MAX_SHARED_PARTS)
    .map(({id}) => (id.length > MAX_PART_LENGTH ? shortDigest(id) : id));
}

/** Returns the regions that a request may reach. */
export function homesOf(
  {route, account}: Pick<AdmittedRequest, 'route' | 'account'>,
  regions: Regions,
): Homes {
  return new Homes([route.homes, account?.homes ?? []], regions);
}

/** Returns when a request has its final response at the latest. */
export function deadlineOf({
  callerRequest,
  route,
  arrivedAt,
}: AdmittedRequest): Millis {
  return arrivedAt + Math.min(callerRequest.timeout ?? Infinity, route.timeout);
}

/**
 * Returns the maximum number of tokens that a request may consume; 0 if its
 * account has no token budget or the request does not use a model.
 */
export function tokensToReserve({
  callerRequest,
  account,
}: AdmittedRequest): number {
  const {usage} = callerRequest;
  const isCounted = account?.grantedTokens !== undefined && usage !== undefined;
  return isCounted ? usage.inputTokens + usage.maxOutputTokens : 0;
}
