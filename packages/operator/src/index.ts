/** Operations on the configuration and the budgets of a deployment. */
export * from './lib/apply.js';
export * from './lib/budget.js';
export * from './lib/declarations.js';
export * from './lib/plan.js';
export * from './lib/update.js';
