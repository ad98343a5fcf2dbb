/** Authenticated connections between entries, and their messages. */
export * from './lib/fleet.js';
export * from './lib/frame.js';
export * from './lib/link.js';
export * from './lib/message.js';
