/** Schemas of the messages between entries. */
import * as z from 'zod';
import {GiveState} from '@citrontrestle/decisions';

/** Kinds of messages between entries; the values are sent in `kind`. */
export enum MessageKind {
  Probe = 'probe',
  ProbeReply = 'probe-answer',
  TokenRequest = 'ask',
  TokenGrant = 'give',
  SettlementCopy = 'copy',
  SettlementCopied = 'copied',
  SettlementDrop = 'drop',
  EntryLeaving = 'leaving',
  UpstreamLeaving = 'upstream-leaving',
  SuspectRequest = 'suspect',
  ConfigurationRequest = 'configuration-ask',
  ConfigurationReply = 'configuration-give',
}

const MAX_NAME_LENGTH = 256;
const MAX_DIGESTS = 10_000;

const nameSchema = z.string().max(MAX_NAME_LENGTH);
const tokensSchema = z.number().int().nonnegative();

/** A charge against a budget that isn't written to the ledger yet. */
const settlementSchema = z.object({
  digest: nameSchema,
  holder: nameSchema,
  budget: nameSchema,
  tokens: tokensSchema,
  begun: z.number(),
});

/** Schema of the messages between entries. */
export const MESSAGE_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.enum([MessageKind.Probe, MessageKind.ProbeReply]),
    generation: z.number().int(),
  }),
  z.object({
    kind: z.literal(MessageKind.TokenRequest),
    budget: nameSchema,
    tokens: tokensSchema,
  }),
  z.object({
    kind: z.literal(MessageKind.TokenGrant),
    budget: nameSchema,
    total: tokensSchema,
    state: z.enum(GiveState),
  }),
  z.object({
    kind: z.literal(MessageKind.SettlementCopy),
    settlement: settlementSchema,
  }),
  z.object({kind: z.literal(MessageKind.SettlementCopied), digest: nameSchema}),
  z.object({
    kind: z.literal(MessageKind.SettlementDrop),
    digests: z.array(nameSchema).max(MAX_DIGESTS),
  }),
  z.object({kind: z.literal(MessageKind.EntryLeaving)}),
  z.object({
    kind: z.literal(MessageKind.UpstreamLeaving),
    upstream: nameSchema,
  }),
  z.object({
    kind: z.literal(MessageKind.SuspectRequest),
    fingerprint: nameSchema,
    upstream: nameSchema,
  }),
  z.object({
    kind: z.literal(MessageKind.ConfigurationRequest),
    generation: z.number().int(),
  }),
  z.object({
    kind: z.literal(MessageKind.ConfigurationReply),
    configuration: z.unknown(),
  }),
]);

/** A message between entries. Amounts are in tokens, times in milliseconds. */
export type Message = z.infer<typeof MESSAGE_SCHEMA>;

/** First frame on a link, sent by both sides. */
export const HELLO_SCHEMA = z.object({
  kind: z.literal('hello'),
  holder: nameSchema,
  /** Address that accepts links, as `ip:port`. */
  address: nameSchema,
  zone: nameSchema,
  nonce: nameSchema,
});

/** First frame on a link, sent by both sides. */
export type Hello = z.infer<typeof HELLO_SCHEMA>;

/** Second frame on a link: proof of the fleet key over both nonces. */
export const PROOF_SCHEMA = z.object({
  kind: z.literal('proof'),
  proof: nameSchema,
});
