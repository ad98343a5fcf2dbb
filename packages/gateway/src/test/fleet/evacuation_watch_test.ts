/**
 * Orders to evacuate zones are read from the keys of the operator and from peers;
 * malformed ones are logged and hide no sound one.
 */
import {expect} from 'chai';
import {Evacuations} from '@citrontrestle/decisions';
import {EvacuationWatch} from '../../lib/fleet/evacuation_watch.js';
import {PEER_MESSAGE_SCHEMA} from '../../lib/fleet/peer_message.js';
import {PeerVersions} from '../../lib/fleet/peer_versions.js';
import {PeerMessageKind} from '../../lib/fleet/peer_message.js';
import type {PeerMessage} from '../../lib/fleet/peer_message.js';
import type {Log} from '@citrontrestle/runtime';
import type {UpstreamListing} from '@citrontrestle/decisions';

const PREFIX = 'op/evacuate/';

const CASES: {name: string; keys: string[]; zones: string[]; warned: number}[] =
  [
    {name: 'no order', keys: ['op/config'], zones: [], warned: 0},
    {
      name: 'orders beside other keys',
      keys: ['op/config', `${PREFIX}a`, 'op/evacuate', `${PREFIX}Dél Buda`],
      zones: ['a', 'Dél Buda'],
      warned: 0,
    },
    {
      name: 'malformed names',
      keys: [
        PREFIX,
        `${PREFIX}${'x'.repeat(5_000)}`,
        `${PREFIX}a\u0000`,
        `${PREFIX}\uFFFD`,
        `${PREFIX}b`,
      ],
      zones: ['b'],
      warned: 4,
    },
  ];

describe('the orders to evacuate zones', () => {
  let evacuations: Evacuations;
  let watch: EvacuationWatch;
  let warnings: number;
  let news: string[];

  beforeEach(() => {
    evacuations = new Evacuations();
    warnings = 0;
    news = [];
    const log = {
      info: () => undefined,
      warn: () => (warnings += 1),
      error: () => undefined,
    } as unknown as Log;
    const layout = {evacuationPrefix: PREFIX};
    watch = new EvacuationWatch(evacuations, layout, {now: () => 7}, log, {
      onChanged: ({evacuated, opened}, source) =>
        news.push(
          `${source ?? 'store'}: +${evacuated.join()} -${opened.join()}`,
        ),
      onOpened: zone => news.push(`opened ${zone}`),
    });
  });

  for (const {name, keys, zones, warned} of CASES) {
    it(`are read from a list: ${name}`, () => {
      const value = Buffer.from('{}');
      const items = keys.map(key => ({key, value, revision: 3}));
      watch.applyStoreList(items, {era: 1, revision: 5});
      expect(watch.snapshot().zones).to.deep.equal(zones);
      expect(warnings).to.equal(warned);
    });
  }

  it('are told on only if they change something', () => {
    const value = Buffer.from('');
    const key = `${PREFIX}a`;
    watch.applyStoreList([], {era: 1, revision: 5});
    watch.applyStoreChange({key, value, revision: 6}, 1);
    watch.applyStoreChange({key, value, revision: 7}, 1);
    watch.applyPeerState({era: 1, revision: 6, zones: ['b']}, 'p');
    watch.applyPeerState({era: 1, revision: 8, zones: ['a']}, 'p');
    watch.applyPeerState({era: 1, revision: 9, zones: ['b']}, 'p');
    watch.applyStoreChange({key, value: undefined, revision: 8}, 1);
    expect(news).to.deep.equal(['store: +a -', 'opened a', 'p: +b -a']);
    expect(evacuations.openedAt('a')).to.equal(7);
  });

  it('keep requests from the upstreams of the zone only', () => {
    const [a, b] = ['a', 'b'].map(zone => ({zone}) as UpstreamListing);
    const upstreams = [a, b] as UpstreamListing[];
    expect(watch.withoutEvacuated(upstreams)).to.deep.equal([a, b]);
    watch.applyPeerState({era: 1, revision: 1, zones: ['a', 'unknown']}, 'p');
    expect(watch.withoutEvacuated(upstreams)).to.deep.equal([b]);
  });

  it('are sent only to peers that understand them', () => {
    const versions = new PeerVersions();
    const heartbeat = {kind: PeerMessageKind.Heartbeat} as PeerMessage & {
      kind: PeerMessageKind.Heartbeat;
    };
    versions.recordHeartbeat('old', heartbeat);
    const evacuationPosition = {era: 0, revision: -1};
    versions.recordHeartbeat('new', {
      ...heartbeat,
      evacuations: evacuationPosition,
    });
    const understand = (peer: string) =>
      versions.understands(peer, PeerMessageKind.Evacuations);
    expect(['old', 'new'].map(understand)).to.deep.equal([false, true]);
  });

  const messages = [
    {name: 'sound', zones: ['a'], revision: 4, isValid: true},
    {name: 'too many', zones: Array(257).fill('a'), revision: 4},
    {name: 'too long a name', zones: ['x'.repeat(201)], revision: 4},
    {name: 'a revision that is no integer', zones: [], revision: 0.5},
  ];
  for (const {name, zones, revision, isValid = false} of messages) {
    it(`are ${isValid ? '' : 'not '}taken from a message: ${name}`, () => {
      const parsed = PEER_MESSAGE_SCHEMA.safeParse({
        kind: PeerMessageKind.Evacuations,
        position: {era: 1, revision},
        zones,
      });
      expect(parsed.success).to.equal(isValid);
    });
  }
});
