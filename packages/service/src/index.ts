/** Client for plain services. */
export * from './lib/service.js';
