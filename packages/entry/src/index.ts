/** One entry and its settings. */
export * from './lib/entry.js';
export * from './lib/settings.js';
export * from './lib/status.js';
