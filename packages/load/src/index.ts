/** The load tool: runs scenarios against an embedded fleet and checks them. */
export * from './lib/embedded_fleet.js';
export * from './lib/experiment.js';
export * from './lib/scenario.js';
export * from './lib/table.js';
export * from './lib/verdict.js';
