/** Messages between gateways, and their checks. */
import * as z from 'zod';

/** Kinds of messages between gateways. */
export enum PeerMessageKind {
  Beat = 'beat',
  Load = 'load',
  ConfigurationAsk = 'configuration-ask',
  ConfigurationGive = 'configuration-give',
  UpstreamsAsk = 'upstreams-ask',
  UpstreamsGive = 'upstreams-give',
  TokensAsk = 'tokens-ask',
  TokensGive = 'tokens-give',
  TokensRefuse = 'tokens-refuse',
  Suspect = 'suspect',
  Cleared = 'cleared',
}

const MOST_NAME = 256;
const MOST_MEMBERS = 2_000;

const name = z.string().max(MOST_NAME);
const tokens = z.number().int().nonnegative();

const member = z.object({
  address: name,
  zone: name,
  capacity: z.number(),
  leaving: z.boolean(),
  /** Milliseconds since the sender knew it to run. */
  age: z.number(),
});

const listing = z.object({
  id: name,
  service: name,
  address: name,
  zone: name,
  slots: z.number(),
  leaving: z.boolean(),
  startedAt: z.number(),
  cold: z.number(),
});

/** Shape of every message between gateways. */
export const PEER_MESSAGE_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(PeerMessageKind.Beat),
    instance: name,
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
    members: z.array(member).max(MOST_MEMBERS),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.Load),
    /** Requests in flight and milliseconds of prompt processing, by upstream. */
    loads: z.array(z.tuple([name, z.number(), z.number()])),
  }),
  z.object({kind: z.literal(PeerMessageKind.ConfigurationAsk)}),
  z.object({
    kind: z.literal(PeerMessageKind.ConfigurationGive),
    /** The value as it stands in the store, compressed. */
    value: z.instanceof(Uint8Array),
  }),
  z.object({kind: z.literal(PeerMessageKind.UpstreamsAsk)}),
  z.object({
    kind: z.literal(PeerMessageKind.UpstreamsGive),
    /** Revision of the sender's list before the news; -1 for a whole list. */
    after: z.number(),
    /** Whether the store was away shortly before. */
    lapsed: z.boolean(),
    news: z.array(
      z.object({
        id: name,
        revision: z.number(),
        listing: listing.optional(),
      }),
    ),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.TokensAsk),
    account: name,
    /** Tokens that a request waits for; 0 if none does. */
    tokens,
    /** Tokens that are welcome besides. */
    ahead: tokens,
    /** Whether the receiver may draw on the store for the sender. */
    draw: z.boolean(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.TokensGive),
    account: name,
    tokens,
  }),
  z.object({
    kind: z.literal(PeerMessageKind.TokensRefuse),
    account: name,
    /** Tokens that were asked for. */
    tokens,
    /** Whether nobody has them; else they may be with others. */
    exhausted: z.boolean(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.Suspect),
    fingerprint: name,
    upstream: name,
  }),
  z.object({
    kind: z.literal(PeerMessageKind.Cleared),
    fingerprint: name,
  }),
]);

/** A message between gateways. Amounts in tokens. */
export type PeerMessage = z.infer<typeof PEER_MESSAGE_SCHEMA>;
