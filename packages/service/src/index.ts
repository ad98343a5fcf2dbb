/** Client of plain services. */
export * from './lib/service.js';
