/** HTTP interface for callers, with server-sent events for streamed answers. */
export * from './lib/caller.js';
export * from './lib/refusal.js';
export * from './lib/reply.js';
