/** Scenarios of the load tool, read from YAML. */
import {z} from 'zod';
import {BudgetPolicy, RoutingPolicy} from '@citrontrestle/decisions';

const nonNegativeInteger = z.number().int().nonnegative();

/** One kind of request in the mix. */
const mixSchema = z.strictObject({
  account: z.string(),
  class: z.string(),
  weight: z.number().positive(),
  promptCharacters: nonNegativeInteger.default(200),
  outputTokens: nonNegativeInteger.default(40),
});

/** Kinds of faults that a scenario can set. */
export enum FaultKind {
  KeyValueDown = 'key-value-down',
  KeyValueSlow = 'key-value-slow',
  LostAnswers = 'lost-answers',
  EntryKilled = 'entry-killed',
  EntryDrained = 'entry-drained',
  UpstreamDown = 'upstream-down',
  UpstreamSlow = 'upstream-slow',
  UpstreamLeaving = 'upstream-leaving',
  CutStreams = 'cut-streams',
  WrongIds = 'wrong-ids',
  TopUp = 'top-up',
}

/** One fault; how `value` is read depends on the kind. */
const faultSchema = z.strictObject({
  atMs: nonNegativeInteger,
  kind: z.enum(FaultKind),
  /** How long it lasts; 0 for ever. */
  forMs: nonNegativeInteger.default(0),
  /** Entry or upstream number, where one is meant. */
  target: nonNegativeInteger.default(0),
  /** Delay, factor, count or tokens. */
  value: z.number().default(1),
  /** Budget, for a top-up. */
  budget: z.string().default(''),
});

/** Shape of a scenario. Times in milliseconds. */
export const SCENARIO_SCHEMA = z.strictObject({
  declarations: z.string(),
  keys: z.string(),
  fleet: z.strictObject({
    entries: z.number().int().positive(),
    zones: z.array(z.string()).min(1),
    engines: nonNegativeInteger,
    services: nonNegativeInteger,
    slots: z.number().int().positive().default(8),
    tokenMs: z.number().nonnegative().default(2),
    /** Most calls a second of each entry at the key-value service. */
    callsPerSecond: z.number().positive().default(20),
  }),
  durationMs: z.number().int().positive(),
  ratePerSecond: z.number().positive(),
  /** Policies to compare; each pair is one run. */
  budgetPolicies: z.array(z.enum(BudgetPolicy)).default([BudgetPolicy.Shares]),
  routingPolicies: z
    .array(z.enum(RoutingPolicy))
    .default([RoutingPolicy.Estimate]),
  /** Grants in place of the declared ones, in tokens, by budget. */
  grants: z.record(z.string(), nonNegativeInteger).default({}),
  mix: z.array(mixSchema).min(1),
  faults: z.array(faultSchema).default([]),
});

/** A scenario. */
export type Scenario = z.output<typeof SCENARIO_SCHEMA>;

/** One kind of request in the mix. */
export type MixEntry = Scenario['mix'][number];

/** One fault of a scenario. */
export type Fault = Scenario['faults'][number];

/** API keys by account. */
export const KEYS_SCHEMA = z.record(z.string(), z.string());
