/** The gateway: forwards requests of callers to upstreams. */
export * from './lib/process/gateway.js';
export * from './lib/process/ports.js';
export * from './lib/process/settings.js';
export * from './lib/process/start_costs.js';
