/**
 * The evacuated zones follow the newest state of the store, in whatever order
 * lists, changes and news of peers arrive.
 */
import {expect} from 'chai';
import fc from 'fast-check';
import {
  Evacuations,
  isZoneName,
  MAX_EVACUATED_ZONES,
} from '../../lib/fleet/evacuations.js';
import {isNewer} from '../../lib/fleet/store_position.js';
import type {EvacuationSnapshot} from '../../lib/fleet/evacuations.js';

/** Seed of the random sequences. */
const FUZZ_SEED = 1;

/** One step: a snapshot, or a change of one zone (`+` evacuates, `-` opens). */
type Step = [era: number, revision: number, news: string[] | string];

function applyStep(evacuations: Evacuations, [era, revision, news]: Step) {
  const position = {era, revision};
  return typeof news === 'string'
    ? evacuations.applyChange(news.slice(1), news[0] === '+', position, 0)
    : evacuations.applySnapshot({...position, zones: news}, 0);
}

const CASES: {name: string; steps: Step[]; zones: string[]}[] = [
  {name: 'a list', steps: [[1, 5, ['a', 'b']]], zones: ['a', 'b']},
  {
    name: 'an order, and its end',
    steps: [
      [1, 5, []],
      [1, 6, '+a'],
      [1, 7, '+b'],
      [1, 8, '-a'],
    ],
    zones: ['b'],
  },
  {
    name: 'a list without the key takes back',
    steps: [
      [1, 5, ['a']],
      [1, 9, []],
    ],
    zones: [],
  },
  {
    name: 'an older list evacuates nothing again',
    steps: [
      [1, 5, ['a']],
      [1, 9, '-a'],
      [1, 7, ['a']],
    ],
    zones: [],
  },
  {
    name: 'an older change evacuates nothing again',
    steps: [
      [1, 9, []],
      [1, 7, '+a'],
    ],
    zones: [],
  },
  {
    name: 'the list of a newer era counts, though its revisions are lower',
    steps: [
      [1, 90, ['a']],
      [2, 10, ['b']],
    ],
    zones: ['b'],
  },
  {
    name: 'a lower era counts no more, though its revisions are higher',
    steps: [
      [2, 10, []],
      [1, 90, ['a']],
      [1, 91, '+a'],
    ],
    zones: [],
  },
  {
    name: 'a change counts only on the state of its era',
    steps: [
      [1, 5, ['a']],
      [2, 6, '-a'],
    ],
    zones: ['a'],
  },
  {
    name: 'a malformed name hides no sound one',
    steps: [
      [1, 5, ['', 'a', 'x'.repeat(201), 'b\n']],
      [1, 6, '+\u0000'],
    ],
    zones: ['a'],
  },
];

const ZONES = ['a', 'b', 'c'];

/** A history of the store: the zones that change, and the ends of eras. */
const HISTORY = fc.array(
  fc.record({zone: fc.constantFrom(...ZONES), goesBack: fc.integer({max: 4})}),
  {minLength: 1, maxLength: 30},
);

/** Returns the states of a store that sometimes goes back to an older state. */
function statesOf(
  history: {zone: string; goesBack: number}[],
): EvacuationSnapshot[] {
  const states: EvacuationSnapshot[] = [{era: 1, revision: 1, zones: []}];
  for (const {zone, goesBack} of history) {
    const last = states.at(-1) ?? {era: 1, revision: 1, zones: []};
    const copy = goesBack > 0 ? states.at(-1 - goesBack) : undefined;
    if (copy !== undefined) {
      states.push({...copy, era: last.era + 1});
    } else {
      const zones = last.zones.includes(zone)
        ? last.zones.filter(name => name !== zone)
        : [...last.zones, zone];
      states.push({era: last.era, revision: last.revision + 1, zones});
    }
  }
  return states;
}

describe('the evacuated zones', () => {
  for (const {name, steps, zones} of CASES) {
    it(`follow the newest state: ${name}`, () => {
      const evacuations = new Evacuations();
      steps.forEach(step => applyStep(evacuations, step));
      expect(evacuations.snapshot().zones).to.deep.equal(zones);
    });
  }

  it('never go back to an older state, however news are interleaved', () => {
    const picks = fc.array(
      fc.record({
        receiver: fc.nat(2),
        sender: fc.nat(3),
        pick: fc.nat(),
        isChange: fc.boolean(),
      }),
      {maxLength: 60},
    );
    fc.assert(
      fc.property(HISTORY, picks, (history, deliveries) => {
        const states = statesOf(history);
        const instances = ZONES.map(() => new Evacuations());
        for (const {receiver, sender, pick, isChange} of deliveries) {
          const instance = instances[receiver] ?? new Evacuations();
          const before = instance.position();
          const index = pick % states.length;
          const state = states[index];
          const previous = states[index - 1];
          const peer = instances[sender];
          if (peer !== undefined) {
            instance.applySnapshot(peer.snapshot(), 0);
          } else if (isChange && previous?.era === state?.era) {
            // A feed delivers a change only after the state before it.
            instance.applySnapshot(previous ?? instance.snapshot(), 0);
            ZONES.forEach(zone => {
              const isIn = state?.zones.includes(zone) === true;
              if (state && isIn !== previous?.zones.includes(zone)) {
                instance.applyChange(zone, isIn, state, 0);
              }
            });
          } else if (state !== undefined) {
            instance.applySnapshot(state, 0);
          }
          expect(isNewer(before, instance.position())).to.equal(false);
          const {era, revision, zones} = instance.snapshot();
          const truth = states.find(
            known => known.era === era && known.revision === revision,
          );
          expect([...zones].sort()).to.deep.equal(
            [...(truth?.zones ?? [])].sort(),
          );
        }
        const newest = states.at(-1) ?? new Evacuations().snapshot();
        for (const instance of instances) {
          instance.applySnapshot(newest, 0);
          states.forEach(state => instance.applySnapshot(state, 0));
          expect([...instance.snapshot().zones].sort()).to.deep.equal(
            [...newest.zones].sort(),
          );
        }
      }),
      {seed: FUZZ_SEED},
    );
  });

  it('are known with the time at which they were taken back', () => {
    const evacuations = new Evacuations();
    evacuations.applySnapshot({era: 1, revision: 1, zones: ['a']}, 10);
    expect(evacuations.openedAt('a')).to.equal(undefined);
    const change = evacuations.applyChange(
      'a',
      false,
      {era: 1, revision: 2},
      20,
    );
    expect(change).to.deep.equal({evacuated: [], opened: ['a']});
    expect(evacuations.openedAt('a')).to.equal(20);
    evacuations.applyChange('a', true, {era: 1, revision: 3}, 30);
    expect(evacuations.openedAt('a')).to.equal(undefined);
  });

  it('stay bounded', () => {
    const evacuations = new Evacuations();
    const zones = Array.from({length: 9_999}, (_, index) => `z${index}`);
    evacuations.applySnapshot({era: 1, revision: 1, zones}, 0);
    expect(evacuations.count()).to.equal(MAX_EVACUATED_ZONES);
    evacuations.applyChange('a', true, {era: 1, revision: 2}, 0);
    expect(evacuations.count()).to.equal(MAX_EVACUATED_ZONES);
  });

  const names: [string, boolean][] = [
    ['pest-kelet', true],
    ['Dél Buda', true],
    ['__proto__', true],
    ['', false],
    ['x'.repeat(201), false],
    ['a\tb', false],
    ['a\uFFFD', false],
  ];
  for (const [text, isName] of names) {
    it(`${JSON.stringify(text.slice(0, 9))} can ${isName ? '' : 'not '}be one`, () => {
      expect(isZoneName(text)).to.equal(isName);
    });
  }
});
