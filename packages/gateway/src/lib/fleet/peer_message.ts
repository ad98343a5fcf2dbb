/** Messages between gateways, and the schema that received ones must match. */
import {
  MAX_EVACUATED_ZONES,
  MAX_ZONE_NAME_LENGTH,
} from '@citrontrestle/decisions';
import {isAddress} from '@citrontrestle/runtime';
import * as z from 'zod';

/** Kinds of messages between gateways. */
export enum PeerMessageKind {
  /** Sent periodically: state of the sender and the members that it knows. */
  Heartbeat = 'beat',
  /** Load on the upstreams in the view of the sender. */
  Load = 'load',
  /** Asks for the configuration in force. */
  ConfigurationRequest = 'configuration-ask',
  Configuration = 'configuration-give',
  /** Asks for the whole list of upstreams. */
  UpstreamsRequest = 'upstreams-ask',
  /** Updates of the list of upstreams, or the whole list. */
  UpstreamUpdates = 'upstreams-give',
  /** Asks for all evacuated zones. */
  EvacuationsRequest = 'evacuations-ask',
  /** All evacuated zones as of a position of the store. */
  Evacuations = 'evacuations-give',
  /** Asks for prepaid tokens of an account. */
  TokenRequest = 'tokens-ask',
  /** Transfers tokens; the receiver may use them from then on. */
  TokenTransfer = 'tokens-give',
  /** Tells a follower that its relay cannot supply the tokens it asked for. */
  TokenRefusal = 'tokens-refuse',
  /** Broadcast when an upstream crashed while it ran a request. */
  SuspectReport = 'suspect',
  /** Broadcast when a request that was suspected has been answered. */
  SuspectCleared = 'cleared',
  /** Broadcast when an upstream names a limit on requests, or none any more. */
  UpstreamLimit = 'limit',
  /** Broadcast when a process of an upstream says that it is brittle. */
  UpstreamBrittle = 'brittle',
  /** Broadcast when a process of an upstream has said that it leaves. */
  UpstreamLeaving = 'leaving',
  /** Broadcast when a process of an upstream has said that it is cold. */
  UpstreamCold = 'cold',
  /** Tells which software version began a stream. */
  StreamBeginning = 'stream',
  /** Asks which software version began a stream. */
  StreamQuery = 'stream-ask',
}

/** Maximum length of ids, addresses and other names, in characters. */
const MAX_NAME_LENGTH = 256;
/** Maximum number of traits of a request. */
const MAX_TRAITS = 64;
/** Maximum number of processes of one machine in a heartbeat. */
const MAX_HEARD_PROCESSES = 64;
/** Maximum number of upstreams whose speed a message may state. */
const MAX_SPEEDS = 256;
/** Maximum utilisation of a link that is believed. */
const MAX_UTILISATION = 1_000;
/** Maximum number of members in one heartbeat. */
const MAX_MEMBERS = 2_000;

const nameSchema = z.string().max(MAX_NAME_LENGTH);
const addressSchema = nameSchema.refine(isAddress);
const utilisationSchema = z.number().nonnegative().max(MAX_UTILISATION);
const tokenCountSchema = z.number().int().nonnegative();

/**
 * Era of the store to which the revisions of a message belong. Missing in
 * messages of earlier versions of the gateway: the era that the receiver knows.
 */
const eraSchema = z.number().int().nonnegative().optional();

/** A position of the store; see `StorePosition`. */
const positionSchema = z.object({
  era: z.number().int().nonnegative(),
  revision: z.number().int(),
});

/** An instance that the sender knows. */
const memberSchema = z.object({
  address: addressSchema,
  zone: nameSchema,
  capacity: z.number(),
  leaving: z.boolean(),
  proxy: addressSchema.optional(),
  partitioned: z.boolean().optional(),
  /** Milliseconds since the sender last knew the member to be running. */
  age: z.number(),
});

/** A process and its newest time that was heard; see `HeardTime`. */
const heardTimeSchema = z.object({holder: nameSchema, time: z.number()});

/** An upstream with its recent sum and weight, and its usual ones. */
const speedSchema = z.tuple([
  nameSchema,
  z.number(),
  z.number(),
  z.number(),
  z.number(),
]);

/** An upstream's entry in the list; see `UpstreamListing`. */
const listingSchema = z.object({
  id: nameSchema,
  service: nameSchema,
  address: addressSchema,
  zone: nameSchema,
  // Missing in messages of earlier versions of the gateway.
  version: nameSchema.default(''),
  slots: z.number(),
  leaving: z.boolean(),
  startedAt: z.number(),
  cold: z.number(),
});

/** Schema of all messages between gateways. */
export const PEER_MESSAGE_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(PeerMessageKind.Heartbeat),
    instance: nameSchema,
    /** Version of the configuration in force; -1 for none. */
    version: z.number(),
    /** Newest store revision contained in the sender's list of upstreams. */
    revision: z.number(),
    /** Era of that revision. */
    era: eraSchema,
    /**
     * Newest store revision of the verdicts on crashes that the sender has.
     * Missing in messages of earlier versions of the gateway.
     */
    verdicts: z.number().optional(),
    /**
     * Position of the store up to which the sender knows the evacuated zones.
     * Missing in messages of earlier versions of the gateway.
     */
    evacuations: positionSchema.optional(),
    /**
     * Whether the sender can record streams in the store. Missing in messages
     * of earlier versions of the gateway.
     */
    recordsStreams: z.boolean().optional(),
    /**
     * Whether the sender keeps to the rate of cold upstreams. Missing in messages
     * of earlier versions of the gateway.
     */
    knowsCold: z.boolean().optional(),
    leaving: z.boolean(),
    capacity: z.number(),
    /**
     * Address at which the sender forwards requests of peers; missing if it does
     * not, and in messages of earlier versions of the gateway.
     */
    proxy: addressSchema.optional(),
    /** Whether the sender is partitioned from the upstreams. */
    partitioned: z.boolean().optional(),
    /** Milliseconds since the store last answered the sender or its relay. */
    storeSilence: z.number(),
    /**
     * Utilisation of the sender's link. Missing in messages of earlier versions
     * of the gateway.
     */
    linkUse: utilisationSchema.optional(),
    /**
     * Links of the zone, in heartbeats of its relay to its followers; see
     * `ZoneLinks`. Missing in messages of earlier versions of the gateway.
     */
    zoneLinks: z
      .object({
        size: z.number().int().nonnegative(),
        use: utilisationSchema,
        unreadyFrom: z.number().nonnegative(),
      })
      .optional(),
    /**
     * Monotonic time of the sender's machine, in milliseconds. Missing in
     * messages of earlier versions of the gateway, as `heard` is.
     */
    time: z.number().optional(),
    /** What the sender has heard of processes of the receiver's machine. */
    heard: z.array(heardTimeSchema).max(MAX_HEARD_PROCESSES).optional(),
    /** Whether the receiver is the sender's relay. */
    follows: z.boolean(),
    /**
     * Whether the receiver is a mesh peer of the sender: a relay of another
     * zone, or any instance of a small fleet.
     */
    relays: z.boolean(),
    /** Whether the receiver is to reply with the members that it knows. */
    asks: z.boolean(),
    /** Number of running instances in the sender's view, itself included. */
    count: z.number().int().positive(),
    members: z.array(memberSchema).max(MAX_MEMBERS),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.Load),
    /**
     * For each upstream: its id, the number of requests in flight, and their
     * prompt processing time in milliseconds.
     */
    loads: z.array(z.tuple([nameSchema, z.number(), z.number()])),
    /**
     * What is known of the speed of some upstreams; see `SpeedEvidence`. Missing
     * in most messages, and in those of earlier versions of the gateway, which
     * ignore it; an odd value counts as missing.
     */
    speeds: z.array(speedSchema).max(MAX_SPEEDS).optional().catch(undefined),
  }),
  z.object({kind: z.literal(PeerMessageKind.ConfigurationRequest)}),
  z.object({
    kind: z.literal(PeerMessageKind.Configuration),
    /** The value as stored in the store, compressed with raw deflate. */
    value: z.instanceof(Uint8Array),
  }),
  z.object({kind: z.literal(PeerMessageKind.UpstreamsRequest)}),
  z.object({
    kind: z.literal(PeerMessageKind.UpstreamUpdates),
    /** Revision of the sender's list before the updates; -1: a whole list. */
    after: z.number(),
    /** Era of that revision. */
    afterEra: eraSchema,
    /**
     * Whether the store was unreachable to the sender shortly before, so a
     * removed upstream may still run: its heartbeat may only have lapsed.
     */
    lapsed: z.boolean(),
    /** Time for which such an upstream stays usable, if `lapsed`. */
    graceMs: z.number().nonnegative().optional().catch(undefined),
    news: z.array(
      z.object({
        id: nameSchema,
        revision: z.number(),
        era: eraSchema,
        /**
         * Missing if the upstream was removed; an odd one counts as removed, as
         * earlier versions of the gateway pass on entries that these refuse.
         */
        listing: listingSchema.optional().catch(undefined),
      }),
    ),
  }),
  z.object({kind: z.literal(PeerMessageKind.EvacuationsRequest)}),
  z.object({
    kind: z.literal(PeerMessageKind.Evacuations),
    position: positionSchema,
    zones: z
      .array(z.string().max(MAX_ZONE_NAME_LENGTH))
      .max(MAX_EVACUATED_ZONES),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.TokenRequest),
    account: nameSchema,
    /** Number of tokens that a request waits for; 0 if none does. */
    tokens: tokenCountSchema,
    /** Number of further tokens that the sender wants for later requests. */
    ahead: tokenCountSchema,
    /** Whether the receiver may take tokens from the store for the sender. */
    draw: z.boolean(),
    /**
     * Time in milliseconds within which a relay is to answer a follower; earlier
     * versions state none.
     */
    wait: z.number().nonnegative().optional(),
    /** Identifies the question in a refusal; earlier versions state none. */
    ask: z.number().int().nonnegative().optional(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.TokenTransfer),
    account: nameSchema,
    tokens: tokenCountSchema,
  }),
  z.object({
    kind: z.literal(PeerMessageKind.TokenRefusal),
    account: nameSchema,
    /** Number of tokens that were asked for. */
    tokens: tokenCountSchema,
    /** Whether the budget is exhausted; otherwise others may hold tokens. */
    exhausted: z.boolean(),
    /**
     * Age in milliseconds of the reading by which it was refused. Without it, as
     * from earlier versions, `exhausted` is not proved.
     */
    age: z.number().nonnegative().optional(),
    /** Tokens granted so far, as the sender knows them; missing like `age`. */
    granted: tokenCountSchema.optional(),
    /** The `ask` of the request; missing like `age`. */
    ask: z.number().int().nonnegative().optional(),
    /**
     * Whether the reading counts what silent processes may hold. Missing in
     * messages of earlier versions, whose reading leaves that out.
     */
    countsSilent: z.boolean().optional(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.SuspectReport),
    fingerprint: nameSchema,
    /** The process of the upstream that crashed. */
    upstream: nameSchema,
    /** Traits beside the fingerprint; see `CrashVerdicts`. */
    traits: z.array(nameSchema).max(MAX_TRAITS).default([]),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.SuspectCleared),
    fingerprint: nameSchema,
    traits: z.array(nameSchema).max(MAX_TRAITS).default([]),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.UpstreamLimit),
    upstream: nameSchema,
    /** Requests per second; missing if the upstream names no limit. */
    perSecond: z.number().nonnegative().optional(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.UpstreamBrittle),
    upstream: nameSchema,
    /** Start of its process; see `UpstreamListing`. */
    startedAt: z.number(),
    /** Rejections within a second above which it falls over. */
    maxRejections: z.number().nonnegative(),
    /** Whether it has just rejected a request. */
    isFull: z.boolean(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.UpstreamLeaving),
    upstream: nameSchema,
    /** Start of its process; see `UpstreamListing`. */
    startedAt: z.number(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.UpstreamCold),
    upstream: nameSchema,
    /** Start of its process; see `UpstreamListing`. */
    startedAt: z.number(),
    /** Milliseconds for which it is still cold. */
    remaining: z.number().nonnegative(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.StreamBeginning),
    stream: nameSchema,
    version: nameSchema,
  }),
  z.object({
    kind: z.literal(PeerMessageKind.StreamQuery),
    stream: nameSchema,
    /** Address of the instance that asks; it gets the answer. */
    asker: addressSchema,
  }),
]);

/** A message between gateways. */
export type PeerMessage = z.infer<typeof PEER_MESSAGE_SCHEMA>;
