/** Authenticated connections between entries, and their messages. */
export * from './lib/fleet_links.js';
export * from './lib/frame.js';
export * from './lib/link.js';
export * from './lib/message.js';
