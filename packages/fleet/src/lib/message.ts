/** Messages between entries, and their checks. */
import * as z from 'zod';
import {GiveState} from '@citrontrestle/decisions';

/** Kinds of messages between entries. */
export enum MessageKind {
  Probe = 'probe',
  ProbeAnswer = 'probe-answer',
  Ask = 'ask',
  Give = 'give',
  Copy = 'copy',
  Copied = 'copied',
  Drop = 'drop',
  Leaving = 'leaving',
  UpstreamLeaving = 'upstream-leaving',
  Suspect = 'suspect',
  ConfigurationAsk = 'configuration-ask',
  ConfigurationGive = 'configuration-give',
}

const MOST_NAME = 256;
const MOST_DIGESTS = 10_000;

const name = z.string().max(MOST_NAME);
const tokens = z.number().int().nonnegative();

/** A charge as entries pass it on. */
const settlement = z.object({
  digest: name,
  holder: name,
  budget: name,
  tokens,
  begun: z.number(),
});

/** Shape of every message between entries. */
export const MESSAGE_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.enum([MessageKind.Probe, MessageKind.ProbeAnswer]),
    generation: z.number().int(),
  }),
  z.object({
    kind: z.literal(MessageKind.Ask),
    budget: name,
    tokens,
  }),
  z.object({
    kind: z.literal(MessageKind.Give),
    budget: name,
    total: tokens,
    state: z.enum(GiveState),
  }),
  z.object({kind: z.literal(MessageKind.Copy), settlement}),
  z.object({kind: z.literal(MessageKind.Copied), digest: name}),
  z.object({
    kind: z.literal(MessageKind.Drop),
    digests: z.array(name).max(MOST_DIGESTS),
  }),
  z.object({kind: z.literal(MessageKind.Leaving)}),
  z.object({kind: z.literal(MessageKind.UpstreamLeaving), upstream: name}),
  z.object({
    kind: z.literal(MessageKind.Suspect),
    fingerprint: name,
    upstream: name,
  }),
  z.object({
    kind: z.literal(MessageKind.ConfigurationAsk),
    generation: z.number().int(),
  }),
  z.object({
    kind: z.literal(MessageKind.ConfigurationGive),
    configuration: z.unknown(),
  }),
]);

/** A message between entries. Amounts in tokens, times in milliseconds. */
export type Message = z.infer<typeof MESSAGE_SCHEMA>;

/** How an entry presents itself on a link. */
export const HELLO_SCHEMA = z.object({
  kind: z.literal('hello'),
  holder: name,
  /** Where it takes links, as `ip:port`. */
  address: name,
  zone: name,
  nonce: name,
});

/** How an entry presents itself on a link. */
export type Hello = z.infer<typeof HELLO_SCHEMA>;

/** Proof of the fleet key over both nonces. */
export const PROOF_SCHEMA = z.object({
  kind: z.literal('proof'),
  proof: name,
});
