/** Schema of the YAML scenarios of the load tool. */
import {z} from 'zod';
import {BudgetPolicy, RoutingPolicy} from '@citrontrestle/decisions';

const nonNegativeInteger = z.number().int().nonnegative();

/** A kind of request; drawn with a probability proportional to its weight. */
const mixSchema = z.strictObject({
  account: z.string(),
  class: z.string(),
  weight: z.number().positive(),
  promptCharacters: nonNegativeInteger.default(200),
  outputTokens: nonNegativeInteger.default(40),
});

/** Kinds of faults that a scenario can inject. */
export enum FaultKind {
  KeyValueDown = 'key-value-down',
  KeyValueSlow = 'key-value-slow',
  /** Key-value writes take effect, but their answers are lost. */
  LostAnswers = 'lost-answers',
  EntryKilled = 'entry-killed',
  EntryDrained = 'entry-drained',
  UpstreamDown = 'upstream-down',
  UpstreamSlow = 'upstream-slow',
  UpstreamLeaving = 'upstream-leaving',
  CutStreams = 'cut-streams',
  /** Answers carry a wrong request identifier. */
  WrongIds = 'wrong-ids',
  TopUp = 'top-up',
}

/** A fault; the meaning of `value` depends on the kind. */
const faultSchema = z.strictObject({
  /** Start, relative to the start of the run. */
  atMs: nonNegativeInteger,
  kind: z.enum(FaultKind),
  /** Duration; 0 means that the fault is not ended. */
  forMs: nonNegativeInteger.default(0),
  /** Index of the entry or upstream, for faults of entries and upstreams. */
  target: nonNegativeInteger.default(0),
  /**
   * Delay in milliseconds (key-value-slow), factor (upstream-slow), number of
   * answers (lost-answers, cut-streams, wrong-ids) or tokens (top-up).
   */
  value: z.number().default(1),
  /** Budget that a top-up raises. */
  budget: z.string().default(''),
});

/** Schema of a scenario. Times are in milliseconds. */
export const SCENARIO_SCHEMA = z.strictObject({
  /** Path of the declarations, relative to the scenario. */
  declarations: z.string(),
  /** Path of the API keys by account, relative to the scenario. */
  keys: z.string(),
  fleet: z.strictObject({
    entries: z.number().int().positive(),
    zones: z.array(z.string()).min(1),
    engines: nonNegativeInteger,
    services: nonNegativeInteger,
    /** Requests that an engine runs at the same time. */
    slots: z.number().int().positive().default(8),
    /** Time per output token of an idle engine. */
    tokenMs: z.number().nonnegative().default(2),
    /** Maximum key-value calls per second of each entry. */
    callsPerSecond: z.number().positive().default(20),
  }),
  durationMs: z.number().int().positive(),
  /** Mean number of requests per second. */
  ratePerSecond: z.number().positive(),
  /** Policies to compare; each pair of budget and routing policy is a run. */
  budgetPolicies: z.array(z.enum(BudgetPolicy)).default([BudgetPolicy.Shares]),
  routingPolicies: z
    .array(z.enum(RoutingPolicy))
    .default([RoutingPolicy.Estimate]),
  /** Initial tokens by budget, in place of the declared ones. */
  grants: z.record(z.string(), nonNegativeInteger).default({}),
  mix: z.array(mixSchema).min(1),
  faults: z.array(faultSchema).default([]),
});

/** A validated scenario. */
export type Scenario = z.output<typeof SCENARIO_SCHEMA>;

/** A kind of request in the mix of a scenario. */
export type MixEntry = Scenario['mix'][number];

/** A fault of a scenario. */
export type Fault = Scenario['faults'][number];

/** Schema of the API keys by account. */
export const KEYS_SCHEMA = z.record(z.string(), z.string());
