/**
 * Decision logic of the entry and the gateway: budgets, billing, routing,
 * limits and membership. It does no I/O and reads no clock; callers pass in the
 * time and carry out the effects that it returns.
 */
export * from './lib/at_most_once_execution.js';
export * from './lib/brittle_upstreams.js';
export * from './lib/budget_policy.js';
export * from './lib/charge_copy_store.js';
export * from './lib/charge_tracker.js';
export * from './lib/clock.js';
export * from './lib/configuration.js';
export * from './lib/crash_verdicts.js';
export * from './lib/feed_timing.js';
export * from './lib/ledger.js';
export * from './lib/ledger_batch.js';
export * from './lib/ledger_release.js';
export * from './lib/limits.js';
export * from './lib/link_load.js';
export * from './lib/local_share.js';
export * from './lib/membership.js';
export * from './lib/partition.js';
export * from './lib/partition_table.js';
export * from './lib/peer_table.js';
export * from './lib/placement.js';
export * from './lib/page_entries.js';
export * from './lib/prepaid_page.js';
export * from './lib/prepaid_shares.js';
export * from './lib/share_policy.js';
export * from './lib/share_release.js';
export * from './lib/store_position.js';
export * from './lib/take_ceilings.js';
export * from './lib/take_limits.js';
export * from './lib/proxy_choice.js';
export * from './lib/random_sample.js';
export * from './lib/reachability.js';
export * from './lib/repeat_allowance.js';
export * from './lib/request_limits.js';
export * from './lib/repeat_rule.js';
export * from './lib/route_table.js';
export * from './lib/recorder_choice.js';
export * from './lib/routing.js';
export * from './lib/service_versions.js';
export * from './lib/silence.js';
export * from './lib/stream_lifetime.js';
export * from './lib/stream_origins.js';
export * from './lib/stream_segments.js';
export * from './lib/suspects.js';
export * from './lib/token_search.js';
export * from './lib/topology.js';
export * from './lib/upstream_registry.js';
export * from './lib/upstream_rests.js';
export * from './lib/upstreams.js';
export * from './lib/urgency.js';
export * from './lib/wait_queue.js';
export * from './lib/wallet.js';
export * from './lib/wallet_messages.js';
export * from './lib/wallet_settings.js';
