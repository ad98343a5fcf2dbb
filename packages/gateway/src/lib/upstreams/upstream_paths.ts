/**
 * The ways to an upstream: over an own connection or, while this instance is
 * partitioned from the upstreams, through a peer that still reaches them. All
 * decisions on a request stay with the instance that its caller reached.
 */
import {ProxyChoice} from '@citrontrestle/decisions';
import {orderHeaders} from './proxy_protocol.js';
import {UpstreamAgent} from './upstream_agent.js';
import {mayStillSend} from './send_check.js';
import {UpstreamCall} from './upstream_call.js';
import type {ReachabilityWatch} from './reachability_watch.js';
import type {SendCheckContext} from './send_check.js';
import type {Dialect} from '../process/ports.js';
import type {
  ConnectionObserver,
  UpstreamCallListener,
  UpstreamRequest,
} from './upstream_call.js';
import type {
  Homes,
  LinkLoad,
  Millis,
  ProxyPeer,
  UpstreamListing,
} from '@citrontrestle/decisions';

/** A way to an upstream. */
export interface UpstreamPath {
  /** The peer that forwards the request; undefined for an own connection. */
  proxy: ProxyPeer | undefined;
}

/** A request as it is to reach the upstream. */
export type DirectRequest = Pick<
  UpstreamRequest,
  'method' | 'target' | 'headers' | 'body' | 'requestId'
>;

/** What `UpstreamPaths` needs of its instance. */
export interface UpstreamPathsContext extends SendCheckContext {
  zone: string;
  fleetKey: string;
  dialect: Dialect;
  /** Keeps the own connections to upstreams. */
  agent: UpstreamAgent;
  reachability: ReachabilityWatch;
  /** Traffic on the machine's network link. */
  linkLoad: LinkLoad;
  /** Returns the peers that forward requests and reach the upstreams. */
  proxies(): ProxyPeer[];
  random(): number;
}

/** Chooses the ways to upstreams and sends requests on them. */
export class UpstreamPaths {
  private readonly proxyChoice: ProxyChoice;
  /** Keeps the connections to peers. */
  private readonly proxyAgent = new UpstreamAgent();

  constructor(private readonly context: UpstreamPathsContext) {
    this.proxyChoice = new ProxyChoice(context.zone);
  }

  /**
   * Returns the way for a request to an upstream; undefined if there is none.
   * @param requestId identifier of the request.
   * @param excludedProxies addresses of peers that must not get the request.
   * @param homes regions of the peers that may get its body.
   */
  choose(
    upstream: UpstreamListing,
    requestId: string,
    excludedProxies: ReadonlySet<string>,
    homes: Homes,
  ): UpstreamPath | undefined {
    const {reachability, clock, random, proxies, zone} = this.context;
    if (reachability.reachesDirectly(upstream, requestId)) {
      return {proxy: undefined};
    }
    const now = clock.now();
    const proxy = this.proxyChoice.choose(
      proxies().filter(peer => homes.allowsPeer(peer.zone, zone)),
      excludedProxies,
      now,
      random,
    );
    return proxy && {proxy};
  }

  /** Sends a request to an upstream. */
  send(
    {proxy}: UpstreamPath,
    upstream: UpstreamListing,
    request: DirectRequest,
    remainingTime: Millis,
    listener: UpstreamCallListener,
  ): UpstreamCall {
    const {agent, dialect, reachability, linkLoad, clock} = this.context;
    const {requestId, target} = request;
    const check = () => mayStillSend(this.context, upstream, requestId);
    const connectTimeout = () => linkLoad.connectTimeout(clock.now());
    const isProcessThere = () =>
      reachability.isProcessThere((proxy ?? upstream).address);
    if (proxy === undefined) {
      const {address} = upstream;
      const observer = reachability.observerOf(upstream.id);
      return new UpstreamCall(
        {
          ...request,
          address,
          agent,
          observer,
          isProxied: false,
          connectTimeout,
          mayStillSend: check,
          isProcessThere,
        },
        dialect,
        listener,
      );
    }
    const order = {upstreamId: upstream.id, requestId, remainingTime};
    const call = new UpstreamCall(
      {
        ...request,
        headers: {
          ...request.headers,
          ...orderHeaders(order, target, this.context.fleetKey),
        },
        address: proxy.address,
        agent: this.proxyAgent,
        observer: this.proxyObserver(proxy.address),
        isProxied: true,
        connectTimeout,
        mayStillSend: check,
        isProcessThere,
      },
      dialect,
      listener,
    );
    this.proxyChoice.recordStart(proxy.address);
    return call;
  }

  /** Records that a peer could not forward a request. */
  recordProxyFailure({proxy}: UpstreamPath): void {
    if (proxy !== undefined) {
      this.proxyChoice.recordFailure(proxy.address, this.context.clock.now());
    }
  }

  /** Forgets what no longer matters. */
  prune(): void {
    this.proxyChoice.prune(this.context.clock.now());
  }

  private proxyObserver(address: string): ConnectionObserver {
    const ignore = () => undefined;
    return {
      onSent: ignore,
      onHeard: ignore,
      onConnected: ignore,
      onConnectFailed: ignore,
      onEnded: () => this.proxyChoice.recordEnd(address),
    };
  }
}
