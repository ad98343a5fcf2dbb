/** Client for model engines. */
export * from './lib/engine.js';
export * from './lib/event_reader.js';
export * from './lib/load.js';
