/** HTTP and server-sent events towards callers. */
export * from './lib/caller.js';
export * from './lib/refusal.js';
export * from './lib/reply.js';
