/** Sends one call that fails or is cancelled, for tests of how it ends. */
import {UpstreamAgent} from '../../lib/upstreams/upstream_agent.js';
import {UpstreamCall} from '../../lib/upstreams/upstream_call.js';
import type {CallFailure} from '../../lib/requests/call_failure.js';
import type {Dialect} from '../../lib/process/ports.js';
import type {
  UpstreamCallListener,
  UpstreamRequest,
} from '../../lib/upstreams/upstream_call.js';

const ignore = () => undefined;

/** Sends a request to a port of this machine; returns how it failed. */
export function failureOf(
  port: number,
  request: Partial<UpstreamRequest> = {},
  dialect: Partial<Dialect> = {},
  onSent: () => void = ignore,
): Promise<CallFailure> {
  return new Promise(resolve => {
    startCall(port, request, dialect, {onFailure: resolve, onSent});
  });
}

/** Sends a request to a port of this machine. */
export function startCall(
  port: number,
  request: Partial<UpstreamRequest> = {},
  dialect: Partial<Dialect> = {},
  listener: Partial<UpstreamCallListener> = {},
): UpstreamCall {
  return new UpstreamCall(
    {
      address: `127.0.0.1:${port}`,
      method: 'GET',
      target: '/',
      headers: {Host: 'upstream'},
      body: Buffer.alloc(0),
      requestId: 'r1',
      agent: new UpstreamAgent(),
      observer: {
        onSent: ignore,
        onConnected: ignore,
        onConnectFailed: ignore,
        onHeard: ignore,
        onEnded: ignore,
      },
      isProxied: false,
      connectTimeout: () => 300,
      mayStillSend: () => true,
      isProcessThere: () => Promise.resolve(true),
      ...request,
    },
    dialect as Dialect,
    {
      onSent: ignore,
      onHead: ignore,
      onStatement: ignore,
      onData: ignore,
      onComplete: ignore,
      onFailure: ignore,
      ...listener,
    },
  );
}
