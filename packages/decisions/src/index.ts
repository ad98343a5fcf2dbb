/** Pure policy of the fleet: message in, effects out. */
export * from './lib/account.js';
export * from './lib/budget_policy.js';
export * from './lib/clock.js';
export * from './lib/configuration.js';
export * from './lib/copy_store.js';
export * from './lib/ledger.js';
export * from './lib/limits.js';
export * from './lib/membership.js';
export * from './lib/order.js';
export * from './lib/partition.js';
export * from './lib/routing.js';
export * from './lib/suspects.js';
export * from './lib/upstreams.js';
export * from './lib/wallet.js';
export * from './lib/wallet_messages.js';
