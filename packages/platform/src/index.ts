/** Client of the platform. */
export * from './lib/call_budget.js';
export * from './lib/codec.js';
export * from './lib/instances.js';
export * from './lib/key_value.js';
export * from './lib/keys.js';
