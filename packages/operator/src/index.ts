/** Declarations of the operators and the calls that put them in force. */
export * from './lib/apply.js';
export * from './lib/budget.js';
export * from './lib/declarations.js';
export * from './lib/plan.js';
export * from './lib/update.js';
