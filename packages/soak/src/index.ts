/** Randomized faults against real gateway processes. */
export * from './lib/checks.js';
export * from './lib/plan.js';
export * from './lib/soak.js';
