/**
 * Forwards requests of peers that are partitioned from the upstreams. It decides
 * nothing on a request: the peer has admitted it, counts its tokens and retries,
 * and says which upstream gets it. A request is never forwarded to a third
 * instance.
 */
import {createServer} from 'node:http';
import {listenPersistently, readBody} from '@citrontrestle/runtime';
import {ESTIMATED_HEAD_BYTES} from '../requests/admission.js';
import {CallFailure} from '../requests/call_failure.js';
import {CallerResponse} from '../requests/caller_response.js';
import {exceptionFields} from '../process/exception_guard.js';
import {HeldPart} from '../process/held_bytes.js';
import {
  closeDelimitedHeaders,
  failureHeaders,
  headersForUpstream,
  parseOrder,
  wantsChunks,
  withoutPeerHeaders,
} from './proxy_protocol.js';
import {connectionFieldsOf} from './connection_fields.js';
import {mayStillSend} from './send_check.js';
import {UpstreamCall} from './upstream_call.js';
import {recordStatements} from './upstream_statements.js';
import type {HeldBytes} from '../process/held_bytes.js';
import type {InstanceContext} from '../process/instance_context.js';
import type {ProxyFailure, ProxyOrder} from './proxy_protocol.js';
import type {UpstreamAgent} from './upstream_agent.js';
import type {ReceivedHead} from './response_head.js';
import type {UpstreamCallListener} from './upstream_call.js';
import type {Millis, UpstreamListing} from '@citrontrestle/decisions';
import type {
  IncomingHttpHeaders,
  IncomingMessage,
  Server,
  ServerResponse,
} from 'node:http';

/** Maximum number of requests that are forwarded for peers at a time. */
const MAX_ACTIVE_REQUESTS = 256;

/** Status of responses that state a failure. */
const FAILURE_STATUS = 502;

/** Reason of a failure, as the body of the request would take too much memory. */
const NO_ROOM = 'the peer has no room for the body';

/** Status of responses to senders that do not hold the fleet key. */
const FORBIDDEN_STATUS = 403;

/** Maximum size of a request's head in bytes. */
const MAX_HEAD_BYTES = 64 * 1024;

/**
 * Time after the deadline at which a request is given up, in case the peer no
 * longer does so itself.
 */
const DEADLINE_MARGIN: Millis = 500;

/** What a `ProxyServer` needs of its instance. */
export interface ProxyServerContext extends Pick<
  InstanceContext,
  | 'clock'
  | 'log'
  | 'dialect'
  | 'linkLoad'
  | 'bufferCollection'
  | 'placement'
  | 'upstreamRegistry'
  | 'statementWatch'
  | 'evacuationWatch'
  | 'limitWatch'
  | 'brittleWatch'
  | 'coldWatch'
  | 'reachability'
  | 'admits'
  | 'socketReads'
  | 'recordDeparture'
> {
  fleetKey: string;
  agent: UpstreamAgent;
  /** Bytes of bodies that are kept for all requests, those of callers included. */
  heldRequests: HeldBytes;
  /** Returns the maximum size of a request body in bytes. */
  maxBodyBytes(): number;
}

/** The HTTP server that accepts requests of peers. */
export class ProxyServer {
  private readonly server: Server;
  private activeCount = 0;

  constructor(private readonly context: ProxyServerContext) {
    this.server = createServer(
      {maxHeaderSize: MAX_HEAD_BYTES, noDelay: true},
      (incoming, outgoing) => void this.handleRequest(incoming, outgoing),
    );
  }

  /** Listens on `ip:port`; does nothing without an address. */
  async listen(address: string | undefined): Promise<void> {
    if (address !== undefined) {
      await listenPersistently(this.server, address, this.context.log);
    }
  }

  /** Returns the number of requests that are being forwarded. */
  activeRequests(): number {
    return this.activeCount;
  }

  private async handleRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    this.activeCount += 1;
    const held = new HeldPart(this.context.heldRequests);
    outgoing.on('close', () => {
      this.activeCount -= 1;
      held.resize(0);
    });
    const {fleetKey, dialect, log} = this.context;
    const order = parseOrder(incoming.headers, incoming.url ?? '', fleetKey);
    if (order === undefined) {
      log.warn('proxy.forbidden', {peer: incoming.socket.remoteAddress});
      outgoing.writeHead(FORBIDDEN_STATUS, {Connection: 'close'}).end();
      return;
    }
    let hasRoom = true;
    const body = await this.readBody(incoming, order, bytes => {
      this.context.bufferCollection.recordRead(bytes);
      hasRoom = held.tryGrow(bytes);
      return hasRoom;
    });
    // The rest of a body without room is not read, so the connection is closed.
    const response = new CallerResponse(outgoing, dialect, () => !hasRoom);
    if (!hasRoom) {
      const failure = CallFailure.ProxyFailed;
      sendFailure(response, order, {failure, reason: NO_ROOM});
      return;
    }
    if (body === undefined) {
      outgoing.destroy();
      return;
    }
    await this.context.socketReads.completed();
    if (outgoing.destroyed || response.hasCallerLeft()) {
      this.context.recordDeparture();
      outgoing.destroy();
      return;
    }
    try {
      const target = this.findTarget(order);
      if ('failure' in target) {
        sendFailure(response, order, target);
      } else {
        this.forward(incoming, outgoing, {order, body, response, target});
      }
    } catch (error) {
      const request = order.requestId;
      log.error('proxy.threw', {request, ...exceptionFields(error)});
      response.abort();
    }
  }

  /**
   * Reads a body; undefined if it is too large, there is no room for it, or the
   * peer disconnected.
   */
  private async readBody(
    incoming: IncomingMessage,
    {requestId}: ProxyOrder,
    tryHold: (bytes: number) => boolean,
  ): Promise<Buffer | undefined> {
    try {
      return await readBody(incoming, this.context.maxBodyBytes(), tryHold);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.context.log.info('proxy.unread', {request: requestId, reason});
      return undefined;
    }
  }

  /** Returns the upstream for a request, or why it can't be forwarded. */
  private findTarget({
    upstreamId,
    remainingTime,
  }: ProxyOrder): UpstreamListing | ProxyFailure {
    const {clock, linkLoad, reachability, upstreamRegistry} = this.context;
    const {statementWatch, evacuationWatch} = this.context;
    const {ProxyFailed, NotSent} = CallFailure;
    const now = clock.now();
    if (!this.context.admits(now + remainingTime)) {
      return {failure: ProxyFailed, reason: 'the peer stops'};
    }
    if (reachability.isPartitioned()) {
      return {failure: ProxyFailed, reason: 'the peer is partitioned as well'};
    }
    if (this.activeCount > MAX_ACTIVE_REQUESTS || linkLoad.isSaturated(now)) {
      return {failure: ProxyFailed, reason: 'the peer is busy'};
    }
    const upstream = upstreamRegistry.usableUpstream(upstreamId, now);
    if (upstream === undefined) {
      return {failure: NotSent, reason: 'the peer does not list the upstream'};
    }
    if (evacuationWatch.isEvacuated(upstream.zone)) {
      return {failure: NotSent, reason: 'the zone is evacuated'};
    }
    const [willing] = statementWatch.withoutResting([upstream]);
    return (
      willing ?? {failure: NotSent, reason: 'the upstream asks for a rest'}
    );
  }

  /** Sends a request to an upstream and its response to the peer. */
  private forward(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    {order, body, response, target}: ForwardedRequest,
  ): void {
    const {agent, dialect, reachability, linkLoad, clock, log} = this.context;
    const startedAt = clock.now();
    const recordBytes = (received: number, sent: number) =>
      linkLoad.recordBytes(received, sent, clock.now());
    const requestBytes = body.length + ESTIMATED_HEAD_BYTES;
    recordBytes(requestBytes, 0);
    const finish = (outcome: string) => {
      clearTimeout(deadlineTimer);
      log.info('request.proxied', {
        request: order.requestId,
        upstream: target.id,
        outcome,
        wholeMs: Math.round(clock.now() - startedAt),
        ...connectionFieldsOf(call),
      });
    };
    const listener: UpstreamCallListener = {
      onSent: () => recordBytes(0, requestBytes),
      onHead: received =>
        this.sendHead(response, received, target, incoming.headers),
      onStatement: head =>
        recordStatements(this.context, target, head, startedAt),
      onData: chunk => {
        recordBytes(chunk.length, chunk.length);
        this.context.bufferCollection.recordRead(chunk.length);
        if (!response.write(chunk)) {
          call.setFlowing(false);
          response.onDrain(() => call.setFlowing(true));
        }
      },
      onComplete: () => {
        response.end();
        finish('answered');
      },
      onFailure: (failure, reason) => {
        finish(failure);
        if (response.hasBegun()) {
          response.abort();
        } else {
          sendFailure(response, order, {failure, reason});
        }
      },
    };
    const call = new UpstreamCall(
      {
        address: target.address,
        method: incoming.method ?? '',
        target: incoming.url ?? '',
        headers: headersForUpstream(incoming.rawHeaders),
        body,
        requestId: order.requestId,
        agent,
        observer: reachability.observerOf(target.id),
        isProxied: false,
        connectTimeout: () => linkLoad.connectTimeout(clock.now()),
        mayStillSend: () => mayStillSend(this.context, target, order.requestId),
        isProcessThere: () => reachability.isProcessThere(target.address),
      },
      dialect,
      listener,
    );
    const cancel = (outcome: string) => {
      if (call.isRunning()) {
        call.cancel();
        finish(outcome);
      }
    };
    const deadlineTimer = setTimeout(() => {
      cancel('timed-out');
      response.abort();
    }, order.remainingTime + DEADLINE_MARGIN);
    outgoing.on('close', () => cancel('cancelled'));
  }

  /**
   * Sends the head of the upstream's response as it was received. If that has no
   * length, the peer is told so and gets the body in chunks.
   */
  private sendHead(
    response: CallerResponse,
    {status, rawHeaders, head, isCloseDelimited}: ReceivedHead,
    {id}: UpstreamListing,
    requestHeaders: IncomingHttpHeaders,
  ): void {
    const {placement, clock, dialect} = this.context;
    if (head.load !== undefined) {
      placement.recordReportedLoad(id, head.load, clock.now());
    }
    const headers = dialect.forwardedResponseHeaders(
      withoutPeerHeaders(rawHeaders),
    );
    if (isCloseDelimited && wantsChunks(requestHeaders)) {
      Object.assign(headers, closeDelimitedHeaders());
    } else if (isCloseDelimited) {
      response.delimitByClose();
    }
    response.writeHead(status, headers);
    response.flushHead();
  }
}

/** A request of a peer whose body has been read. */
interface ForwardedRequest {
  order: ProxyOrder;
  body: Buffer;
  response: CallerResponse;
  /** The upstream that gets the request. */
  target: UpstreamListing;
}

function sendFailure(
  response: CallerResponse,
  {requestId}: ProxyOrder,
  failure: ProxyFailure,
): void {
  const headers = {...failureHeaders(failure, requestId), 'Content-Length': 0};
  response.send(FAILURE_STATUS, headers, Buffer.alloc(0));
}
