/**
 * Runs randomized faults against real gateway processes and checks that the
 * guarantees to callers hold.
 */
export * from './lib/checks.js';
export * from './lib/observations.js';
export * from './lib/plan.js';
export * from './lib/soak.js';
