/** Clients for the services of the platform. */
export * from './lib/codec.js';
export * from './lib/instances.js';
export * from './lib/key_value.js';
export * from './lib/keys.js';
export * from './lib/rate_limiter.js';
