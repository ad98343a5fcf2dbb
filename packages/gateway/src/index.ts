/** The gateway: forwards requests of callers to upstreams. */
export * from './lib/gateway.js';
export * from './lib/ports.js';
export * from './lib/settings.js';
