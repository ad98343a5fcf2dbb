/**
 * Models of a fleet of entries that run the real decision logic on virtual
 * time, and the fuzzers that check the models' invariants.
 */
export * from './lib/commands.js';
export * from './lib/fleet_model.js';
export * from './lib/fuzz.js';
export * from './lib/model_entry.js';
export * from './lib/oracle.js';
export * from './lib/order_fuzz.js';
export * from './lib/order_model.js';
export * from './lib/planted_bug.js';
export * from './lib/request_attempt.js';
export * from './lib/store.js';
export * from './lib/timeline.js';
