/**
 * Replays requests at many instances that place them at uneven engines, each by
 * a view of the others' load that is late.
 */
import {
  estimatePrefillTime,
  Placement,
  PlacementOutcome,
} from '../../lib/placement/placement.js';
import type {
  PlacedRequest,
  PlacementRequest,
  UpstreamLoad,
} from '../../lib/placement/placement.js';
import type {SpeedEvidence} from '../../lib/placement/upstream_speed.js';
import type {UpstreamListing} from '../../lib/upstreams/upstream_registry.js';
import type {Millis} from '../../lib/base/clock.js';

const ZONES = ['north', 'east', 'south', 'west'];

/** Nominal work takes this many times longer at the engines of the replay. */
const SERVICE_PACE = 2;

/** Time of an answer's first event besides the reading of the prompt. */
const FIRST_EVENT_BASE: Millis = 45;

/** Time from the first event of an answer to its end. */
const STREAM_TIME: Millis = 700;

/** What is replayed. */
export interface Replay {
  instances: number;
  /** Slowness of each engine at a time; Infinity while it is down. */
  engines: readonly ((now: Millis) => number)[];
  /** Requests per second at a time. */
  rate: (now: Millis) => number;
  /** Age of what is known of the peers' load and speeds. */
  viewAge: Millis;
  duration: Millis;
  promptTokens: number;
  /** Number of prompt parts that requests share; 0 for none. */
  topics: number;
  /** Tokens of a shared part, besides those of the prompt itself. */
  sharedTokens: number;
  /** Time to the first event from which an answer is late. */
  target: Millis;
  /** Whether the instances learn and share speeds. */
  learns: boolean;
}

/** One answered request of a replay. */
export interface ReplayedAnswer {
  startedAt: Millis;
  engine: number;
  firstEvent: Millis;
  /** Whether the engine had to read the shared part. */
  readsShared: boolean;
}

/** Returns uniform random numbers in [0, 1): a linear congruential generator. */
export function randomNumbers(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Returns listings of engines, in four zones in turn. */
export function engineListings(
  count: number,
  slots: number,
): UpstreamListing[] {
  return Array.from({length: count}, (_, index) => ({
    id: `e${index}`,
    service: 'models',
    address: `10.0.0.${index}:1`,
    zone: ZONES[index % ZONES.length] ?? '',
    version: 'v1',
    slots,
    leaving: false,
    startedAt: 0,
    cold: 0,
  }));
}

/** An event of the replay that is due at a time. */
interface Event {
  at: Millis;
  run: (now: Millis) => void;
}

/** Plays a replay and returns the answers; failed requests are not among them. */
export function playReplay(replay: Replay, seed: number): ReplayedAnswer[] {
  const random = randomNumbers(seed);
  const upstreams = engineListings(replay.engines.length, 64);
  const placements = Array.from(
    {length: replay.instances},
    () => new Placement(random),
  );
  const freeAt = replay.engines.map(() => 0);
  const held = replay.engines.map(() => new Set<string>());
  const answers: ReplayedAnswer[] = [];
  const events: Event[] = [];
  const schedule = (at: Millis, run: Event['run']) => {
    let place = events.length;
    while (place > 0 && (events[place - 1]?.at ?? 0) < at) {
      place -= 1;
    }
    events.splice(place, 0, {at, run});
  };
  const arrive = (now: Millis): void => {
    const index = Math.floor(random() * placements.length);
    const placement = placements[index] as Placement;
    const own = {id: `own ${now}`, tokens: replay.promptTokens};
    // A square makes the first topics much more frequent than the last ones.
    const topic = Math.floor(random() ** 2 * replay.topics);
    const shared = {id: `topic ${topic}`, tokens: replay.sharedTokens};
    const request: PlacementRequest = {
      parts: replay.topics > 0 ? [shared, own] : [own],
      promptTokens:
        replay.promptTokens + (replay.topics > 0 ? replay.sharedTokens : 0),
    };
    send(placement, index, request, new Set(), now);
    schedule(now - Math.log(1 - random()) * (1_000 / replay.rate(now)), arrive);
  };
  const send = (
    placement: Placement,
    index: number,
    request: PlacementRequest,
    excluded: Set<string>,
    now: Millis,
  ): void => {
    const zone = ZONES[index % ZONES.length] ?? '';
    const placed = placement.choose(request, upstreams, {now, zone, excluded});
    if (placed === undefined) {
      return;
    }
    placement.recordStart(request, placed, now);
    const engine = upstreams.indexOf(placed.upstream);
    const slowness = replay.engines[engine]?.(now) ?? 1;
    if (slowness === Infinity) {
      placement.recordEnd(placed, PlacementOutcome.Failed, false, now);
      send(
        placement,
        index,
        request,
        new Set([...excluded, placed.upstream.id]),
        now,
      );
      return;
    }
    const start = Math.max(now, freeAt[engine] ?? 0);
    const [firstPart] = request.parts;
    const isShared = request.parts.length > 1 && firstPart !== undefined;
    const cached = held[engine] ?? new Set();
    const readsShared = isShared && !cached.has(firstPart.id);
    const work = estimatePrefillTime(
      isShared && !readsShared ? replay.promptTokens : request.promptTokens,
      request.promptTokens,
    );
    if (isShared) {
      cached.add(firstPart.id);
    }
    const readBy = start + work * SERVICE_PACE * slowness;
    freeAt[engine] = readBy;
    const firstAt = readBy + FIRST_EVENT_BASE;
    schedule(firstAt, at => {
      const firstEvent = at - now;
      answers.push({startedAt: now, engine, firstEvent, readsShared});
      placement.recordFirstToken(placed);
      learn(placement, placed, firstEvent, at);
    });
    const endAt = firstAt + STREAM_TIME * slowness;
    schedule(endAt, at => {
      placement.recordEnd(placed, PlacementOutcome.Answered, true, at);
      if (replay.learns) {
        placement.recordWholeTime(placed, at - now);
      }
    });
  };
  const learn = (
    placement: Placement,
    placed: PlacedRequest,
    time: Millis,
    now: Millis,
  ): void => {
    if (replay.learns) {
      placement.recordFirstEventTime(placed, time, now);
    }
  };
  const share = (now: Millis): void => {
    const loads = placements.map(placement =>
      placement.loadIncludingPeers([], now),
    );
    const total = new Map<string, UpstreamLoad>();
    for (const load of loads) {
      for (const [id, {running, prefillTime}] of load) {
        const sum = total.get(id) ?? {running: 0, prefillTime: 0};
        sum.running += running;
        sum.prefillTime += prefillTime;
        total.set(id, sum);
      }
    }
    const others = loads.map(
      load =>
        new Map(
          [...total].map(([id, sum]) => [
            id,
            {
              running: sum.running - (load.get(id)?.running ?? 0),
              prefillTime: sum.prefillTime - (load.get(id)?.prefillTime ?? 0),
            },
          ]),
        ),
    );
    schedule(now + replay.viewAge, at => {
      placements.forEach((placement, index) =>
        placement.setPeerLoad('relay', others[index] ?? new Map(), at),
      );
    });
    schedule(now + replay.viewAge, share);
  };
  const shareSpeeds = (now: Millis): void => {
    const ids = upstreams.map(({id}) => id);
    const own = placements.map(placement =>
      placement.speeds.evidence(ids, {included: []}, now),
    );
    const others = own.map(part => othersEvidence(own, part));
    schedule(now + replay.viewAge, at => {
      placements.forEach((placement, index) =>
        placement.speeds.recordPeerEvidence(
          'relay',
          others[index] ?? new Map(),
          at,
        ),
      );
    });
    schedule(now + 1_000, shareSpeeds);
  };
  schedule(0, share);
  schedule(0, arrive);
  if (replay.learns) {
    schedule(500, shareSpeeds);
  }
  for (;;) {
    const event = events.pop();
    if (event === undefined || event.at > replay.duration) {
      return answers;
    }
    event.run(event.at);
  }
}

/** Sums the evidence of all instances, without that of one of them. */
function othersEvidence(
  all: readonly ReadonlyMap<string, SpeedEvidence>[],
  excluded: ReadonlyMap<string, SpeedEvidence>,
): Map<string, SpeedEvidence> {
  const total = new Map<string, SpeedEvidence>();
  for (const part of all) {
    for (const [id, evidence] of part === excluded ? [] : part) {
      const sum = total.get(id);
      total.set(id, {
        recentSum: (sum?.recentSum ?? 0) + evidence.recentSum,
        recentWeight: (sum?.recentWeight ?? 0) + evidence.recentWeight,
        usualSum: (sum?.usualSum ?? 0) + evidence.usualSum,
        usualWeight: (sum?.usualWeight ?? 0) + evidence.usualWeight,
      });
    }
  }
  return total;
}
