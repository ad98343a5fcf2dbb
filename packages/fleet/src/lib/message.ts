/** Schemas of the messages between entries. */
import {isAddress} from '@citrontrestle/runtime';
import * as z from 'zod';
import {GiveState} from '@citrontrestle/decisions';

/** Kinds of messages between entries; the values are sent in `kind`. */
export enum MessageKind {
  /** Tells a peer the sender's configuration generation and asks for its own. */
  Probe = 'probe',
  ProbeReply = 'probe-answer',
  /** Asks for tokens of a budget. */
  TokenRequest = 'ask',
  /** Hands over tokens of a budget, or says why there are none. */
  TokenGrant = 'give',
  /** A charge for the peer to keep until the ledger holds it. */
  SettlementCopy = 'copy',
  /** Confirms that the peer keeps a copy of a charge. */
  SettlementCopied = 'copied',
  /** The ledger holds these charges; copies are no longer needed. */
  SettlementDrop = 'drop',
  /** The sender is shutting down. */
  EntryLeaving = 'leaving',
  /** An upstream said that it is shutting down. */
  UpstreamLeaving = 'upstream-leaving',
  /** An upstream failed while it ran this request. */
  SuspectRequest = 'suspect',
  /** Asks for a configuration newer than `generation`. */
  ConfigurationRequest = 'configuration-ask',
  ConfigurationReply = 'configuration-give',
}

/** Maximum length of names, addresses and digests, in characters. */
const MAX_NAME_LENGTH = 256;
/** Maximum number of digests in one message. */
const MAX_DIGESTS = 10_000;

const nameSchema = z.string().max(MAX_NAME_LENGTH);
const tokensSchema = z.number().int().nonnegative();

/** A charge against a budget that isn't written to the ledger yet. */
const settlementSchema = z.object({
  digest: nameSchema,
  holder: nameSchema,
  budget: nameSchema,
  tokens: tokensSchema,
  /** When the request started to run, in milliseconds. */
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
    /** Total that the sender has ever handed over to the receiver. */
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

/** Schema of `Hello`. */
export const HELLO_SCHEMA = z.object({
  kind: z.literal('hello'),
  holder: nameSchema,
  /** Address that accepts links, as `ip:port`. */
  address: nameSchema.refine(isAddress),
  zone: nameSchema,
  nonce: nameSchema,
});

/** First frame on a link, sent by both sides. */
export type Hello = z.infer<typeof HELLO_SCHEMA>;

/** Schema of the second frame on a link: the proof of the fleet key. */
export const PROOF_SCHEMA = z.object({
  kind: z.literal('proof'),
  proof: nameSchema,
});
