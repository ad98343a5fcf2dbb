/**
 * Stand-ins for the platforms and their upstreams, for tests and load runs.
 * The modules under `hosted/` simulate the hosted platform and run real gateway
 * processes on it.
 */
export * from './lib/engine.js';
export * from './lib/key_value_store.js';
export * from './lib/platform.js';
export * from './lib/relay.js';
export * from './lib/service.js';
export * from './lib/run_recorder.js';
export * from './lib/upstream.js';
export * from './lib/group.js';
export * from './lib/hosted/answer_copier.js';
export * from './lib/hosted/answer_ender.js';
export * from './lib/hosted/caller.js';
export * from './lib/hosted/fleet.js';
export * from './lib/hosted/partition.js';
export * from './lib/hosted/production_build.js';
export * from './lib/hosted/raw_server.js';
export * from './lib/hosted/refusal_copier.js';
export * from './lib/hosted/store.js';
export * from './lib/hosted/server.js';
