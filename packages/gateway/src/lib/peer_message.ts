/** Messages between gateways, and their checks. */
import * as z from 'zod';

/** Kinds of messages between gateways. */
export enum PeerMessageKind {
  Heartbeat = 'beat',
  Load = 'load',
  ConfigurationRequest = 'configuration-ask',
  Configuration = 'configuration-give',
  UpstreamsRequest = 'upstreams-ask',
  UpstreamUpdates = 'upstreams-give',
  TokenRequest = 'tokens-ask',
  TokenTransfer = 'tokens-give',
  TokenRefusal = 'tokens-refuse',
  SuspectReport = 'suspect',
  SuspectCleared = 'cleared',
}

const MAX_NAME_LENGTH = 256;
const MAX_MEMBERS = 2_000;

const nameSchema = z.string().max(MAX_NAME_LENGTH);
const tokenCountSchema = z.number().int().nonnegative();

const memberSchema = z.object({
  address: nameSchema,
  zone: nameSchema,
  capacity: z.number(),
  leaving: z.boolean(),
  /** Milliseconds since the sender knew it to run. */
  age: z.number(),
});

const listingSchema = z.object({
  id: nameSchema,
  service: nameSchema,
  address: nameSchema,
  zone: nameSchema,
  slots: z.number(),
  leaving: z.boolean(),
  startedAt: z.number(),
  cold: z.number(),
});

/** Shape of every message between gateways. */
export const PEER_MESSAGE_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(PeerMessageKind.Heartbeat),
    instance: nameSchema,
    /** Version of the configuration in force; -1 for none. */
    version: z.number(),
    /** Newest revision of the list of upstreams. */
    revision: z.number(),
    leaving: z.boolean(),
    capacity: z.number(),
    /** Milliseconds since the store answered the sender. */
    storeSilence: z.number(),
    /** Whether the sender takes the receiver as its relay. */
    follows: z.boolean(),
    /** Whether the sender relays news of its zone to the receiver. */
    relays: z.boolean(),
    /** Whether the sender wants to know the members. */
    asks: z.boolean(),
    /** Instances that run, in the sender's view. */
    count: z.number().int().positive(),
    members: z.array(memberSchema).max(MAX_MEMBERS),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.Load),
    /** Requests in flight and milliseconds of prompt processing, by upstream. */
    loads: z.array(z.tuple([nameSchema, z.number(), z.number()])),
  }),
  z.object({kind: z.literal(PeerMessageKind.ConfigurationRequest)}),
  z.object({
    kind: z.literal(PeerMessageKind.Configuration),
    /** The value as it stands in the store, compressed. */
    value: z.instanceof(Uint8Array),
  }),
  z.object({kind: z.literal(PeerMessageKind.UpstreamsRequest)}),
  z.object({
    kind: z.literal(PeerMessageKind.UpstreamUpdates),
    /** Revision of the sender's list before the news; -1 for a whole list. */
    after: z.number(),
    /** Whether the store was away shortly before. */
    lapsed: z.boolean(),
    news: z.array(
      z.object({
        id: nameSchema,
        revision: z.number(),
        listing: listingSchema.optional(),
      }),
    ),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.TokenRequest),
    account: nameSchema,
    /** Tokens that a request waits for; 0 if none does. */
    tokens: tokenCountSchema,
    /** Tokens that are welcome besides. */
    ahead: tokenCountSchema,
    /** Whether the receiver may draw on the store for the sender. */
    draw: z.boolean(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.TokenTransfer),
    account: nameSchema,
    tokens: tokenCountSchema,
  }),
  z.object({
    kind: z.literal(PeerMessageKind.TokenRefusal),
    account: nameSchema,
    /** Tokens that were asked for. */
    tokens: tokenCountSchema,
    /** Whether nobody has them; else they may be with others. */
    exhausted: z.boolean(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.SuspectReport),
    fingerprint: nameSchema,
    upstream: nameSchema,
  }),
  z.object({
    kind: z.literal(PeerMessageKind.SuspectCleared),
    fingerprint: nameSchema,
  }),
]);

/** A message between gateways. Amounts in tokens. */
export type PeerMessage = z.infer<typeof PEER_MESSAGE_SCHEMA>;
