/** Placement under shared prompts, hot topics and failing upstreams. */
import {expect} from 'chai';
import {
  Placement,
  PlacementOutcome,
  estimatePrefillTime,
} from '../../lib/placement/placement.js';
import {randomNumbers} from './upstream_replay.js';
import type {PlacementRequest} from '../../lib/placement/placement.js';
import type {UpstreamListing} from '../../lib/upstreams/upstream_registry.js';

const ZONES = ['north', 'south'];
const NO_UPSTREAMS: ReadonlySet<string> = new Set();
const SHARED_TOKENS = 13_300;
const PROMPT_TOKENS = 17_000;

function engines(count: number): UpstreamListing[] {
  return Array.from({length: count}, (_, index) => ({
    id: `e${index}`,
    service: 'models',
    address: `10.0.0.${index}:1`,
    zone: ZONES[index % ZONES.length] ?? '',
    version: 'v1',
    slots: 8,
    leaving: false,
    startedAt: 0,
    cold: 0,
  }));
}

/** A prompt whose first part is shared by all prompts of a topic. */
function prompt(topic: string, own: string): PlacementRequest {
  return {
    parts: [
      {id: topic, tokens: SHARED_TOKENS},
      {id: own, tokens: PROMPT_TOKENS - SHARED_TOKENS},
    ],
    promptTokens: PROMPT_TOKENS,
  };
}

const PLAIN_REQUEST: PlacementRequest = {parts: [], promptTokens: 0};

/** Places a request, records its start and returns the upstream's identifier. */
function place(
  placement: Placement,
  request: PlacementRequest,
  candidates: UpstreamListing[],
  now: number,
): string {
  const view = {now, zone: 'north', excluded: NO_UPSTREAMS};
  const placed = placement.choose(request, candidates, view);
  if (placed === undefined) {
    return '';
  }
  placement.recordStart(request, placed, now);
  return placed.upstream.id;
}

describe('placement', () => {
  it('chooses the same upstream on instances that exchange no messages', () => {
    const candidates = engines(8);
    for (let topic = 0; topic < 50; topic++) {
      const request = prompt(`topic ${topic}`, 'own');
      const first = place(
        new Placement(randomNumbers(1)),
        request,
        candidates,
        0,
      );
      const second = place(
        new Placement(randomNumbers(2)),
        request,
        candidates,
        0,
      );
      expect(first).to.equal(second);
    }
  });

  it('distributes topics over all engines', () => {
    const used = new Set(
      Array.from({length: 200}, (_, topic) =>
        place(
          new Placement(randomNumbers(1)),
          prompt(`t${topic}`, 'own'),
          engines(8),
          0,
        ),
      ),
    );
    expect(used.size).to.equal(8);
  });

  it('hot key: uses more engines for one topic once its engine has a queue', () => {
    const placement = new Placement(randomNumbers(1));
    const used = new Set<string>();
    for (let count = 0; count < 40; count++) {
      used.add(place(placement, prompt('hot', `o${count}`), engines(8), 0));
    }
    expect(used.size).to.be.at.least(3);
  });

  it('shared parts: fewer than one request in ten misses the prompt cache', () => {
    const placement = new Placement(randomNumbers(1));
    const candidates = engines(8);
    const seen = new Set<string>();
    let cacheMisses = 0;
    let now = 0;
    for (let count = 0; count < 1_000; count++) {
      now += 20;
      const topic = `t${count % 60}`;
      const request = prompt(topic, `o${count}`);
      const view = {now, zone: 'north', excluded: NO_UPSTREAMS};
      const placed = placement.choose(request, candidates, view);
      if (placed === undefined) {
        continue;
      }
      placement.recordStart(request, placed, now);
      placement.recordFirstToken(placed);
      placement.recordEnd(placed, PlacementOutcome.Answered, true, now);
      const topicAndUpstream = `${topic}@${placed.upstream.id}`;
      cacheMisses += seen.has(topicAndUpstream) ? 0 : 1;
      seen.add(topicAndUpstream);
    }
    expect(cacheMisses).to.be.below(100);
  });

  it('includes the load that peers have placed', () => {
    const placement = new Placement(randomNumbers(1));
    const candidates = engines(2);
    const first = place(
      new Placement(randomNumbers(1)),
      prompt('t', 'o'),
      candidates,
      0,
    );
    const load = new Map([[first, {running: 6, prefillTime: 2_000}]]);
    placement.setPeerLoad('peer', load, 0);
    const second = place(placement, prompt('t', 'o'), candidates, 0);
    expect(second).not.to.equal(first);
  });

  it('ignores the load of a peer that has sent no messages for a while', () => {
    const placement = new Placement(randomNumbers(1));
    const candidates = engines(2);
    const first = place(
      new Placement(randomNumbers(1)),
      prompt('t', 'o'),
      candidates,
      0,
    );
    placement.setPeerLoad(
      'peer',
      new Map([[first, {running: 6, prefillTime: 2e3}]]),
      0,
    );
    const later = 10_000;
    const second = place(placement, prompt('t', 'o'), candidates, later);
    expect(second).to.equal(first);
  });

  it('failing upstream: backs off longer after each failure', () => {
    const placement = new Placement(randomNumbers(1));
    const candidates = engines(2);
    const failing = 'e0';
    let now = 0;
    let failures = 0;
    for (let count = 0; count < 400; count++) {
      now += 25;
      const view = {now, zone: 'north', excluded: NO_UPSTREAMS};
      const placed = placement.choose(PLAIN_REQUEST, candidates, view);
      if (placed === undefined) {
        continue;
      }
      placement.recordStart(PLAIN_REQUEST, placed, now);
      const isFailing = placed.upstream.id === failing;
      failures += isFailing ? 1 : 0;
      const outcome = isFailing
        ? PlacementOutcome.Failed
        : PlacementOutcome.Answered;
      placement.recordEnd(placed, outcome, false, now);
    }
    expect(failures).to.be.below(10);
  });

  it('uses an upstream in backoff if there is no other', () => {
    const placement = new Placement(randomNumbers(1));
    const candidates = engines(1);
    const view = {now: 0, zone: 'north', excluded: NO_UPSTREAMS};
    const placed = placement.choose(PLAIN_REQUEST, candidates, view);
    if (placed !== undefined) {
      placement.recordEnd(placed, PlacementOutcome.Failed, false, 0);
    }
    expect(place(placement, PLAIN_REQUEST, candidates, 1)).to.equal('e0');
  });

  it('requests without a prompt: balances them over all upstreams', () => {
    const placement = new Placement(randomNumbers(1));
    const candidates = engines(4);
    const counts = new Map<string, number>();
    for (let count = 0; count < 16; count++) {
      const id = place(placement, PLAIN_REQUEST, candidates, 0);
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    const max = Math.max(...counts.values());
    const min = Math.min(...counts.values());
    expect(max - min).to.be.at.most(2);
  });

  const lightLoads = [
    {name: 'requests without a prompt', request: PLAIN_REQUEST},
    {
      name: 'short prompts with a shared part',
      request: {
        parts: [
          {id: 'shared', tokens: 90},
          {id: 'own', tokens: 10},
        ],
        promptTokens: 100,
      },
    },
  ];
  for (const {name, request} of lightLoads) {
    it(`one at a time: ${name} go to all upstreams alike`, () => {
      const placement = new Placement(randomNumbers(1));
      const candidates = engines(3).filter(({zone}) => zone === 'north');
      const counts = candidates.map(() => 0);
      for (let now = 0; now < 6_000; now += 20) {
        const view = {now, zone: 'north', excluded: NO_UPSTREAMS};
        const placed = placement.choose(request, candidates, view);
        const {Answered} = PlacementOutcome;
        if (placed !== undefined) {
          placement.recordStart(request, placed, now);
          placement.recordEnd(placed, Answered, false, now);
          const index = candidates.indexOf(placed.upstream);
          counts[index] = (counts[index] ?? 0) + 1;
        }
      }
      expect(Math.min(...counts)).to.be.at.least(100);
    });
  }

  const times = [
    {tokens: 0, prompt: 10_000, min: 0, max: 0},
    {tokens: 1_000, prompt: 1_000, min: 10, max: 11},
    {tokens: 50_000, prompt: 50_000, min: 700, max: 800},
    {tokens: 3_700, prompt: 17_000, min: 45, max: 60},
  ];
  for (const {tokens, prompt: promptTokens, min, max} of times) {
    it(`estimates ${min} to ${max} ms for ${tokens} of ${promptTokens} tokens`, () => {
      const time = estimatePrefillTime(tokens, promptTokens);
      expect(time).to.be.within(min, max);
    });
  }
});
