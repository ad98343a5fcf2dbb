/** Utilities shared by all programs. */
export * from './lib/bounded_output.js';
export * from './lib/connection_end.js';
export * from './lib/digest.js';
export * from './lib/forwarded_headers.js';
export * from './lib/header_text.js';
export * from './lib/http.js';
export * from './lib/listener.js';
export * from './lib/log.js';
export * from './lib/metrics.js';
export * from './lib/random.js';
export * from './lib/request_agent.js';
export * from './lib/settings.js';
export * from './lib/system_clock.js';
export * from './lib/timing.js';
