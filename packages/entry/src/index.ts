/** The entry: the process that serves callers, its settings and status. */
export * from './lib/entry.js';
export * from './lib/settings.js';
export * from './lib/status.js';
