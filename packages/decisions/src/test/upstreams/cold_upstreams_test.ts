/**
 * All instances together must not send a cold upstream more than its bound in any
 * second, whoever is cut off, ends or knows only part of the others; and what the
 * cold upstreams take must be used.
 */
import {expect} from 'chai';
import fc from 'fast-check';
import {ColdUpstreams} from '../../lib/upstreams/cold_upstreams.js';
import {FleetMemory} from '../../lib/upstreams/fleet_share.js';
import type {FleetMember} from '../../lib/upstreams/fleet_share.js';
import type {UpstreamListing} from '../../lib/upstreams/upstream_registry.js';

const SECOND = 1_000;
/** Time between two steps of a run, in milliseconds. */
const STEP = 25;
const PROFILE = {coldTime: 3 * SECOND, coldRequestsPerSecond: 11};
const TOLERANCE = {overshoot: 1.5, slack: 5};

/** Silence after which an instance counts as ended, in milliseconds. */
const MEMBER_TIMEOUT = 4 * SECOND;

/** Number of members of another zone that an instance knows. */
const KNOWN_OF_OTHER_ZONE = 3;

/** Variation of the network delay to an upstream, in milliseconds. */
const MAX_JITTER = 200;

function listing(id: string, fields: Partial<UpstreamListing> = {}) {
  return {
    id,
    service: 's',
    address: '10.0.0.1:1',
    zone: 'z',
    version: '',
    slots: 8,
    leaving: false,
    startedAt: 1,
    cold: 0,
    ...fields,
  };
}

/** What happens to the instances of one run, by index; times in milliseconds. */
interface Scene {
  count: number;
  zones: number;
  upstreams: number;
  profile?: typeof PROFILE;
  tolerance?: typeof TOLERANCE;
  /** Instances that neither hear others nor are heard, from when to when. */
  isCut(index: number): boolean;
  cutFrom: number;
  cutUntil: number;
  /** When all instances start and begin to hear of each other. */
  startsAt?: number;
  /** Whether those that are cut send nothing, as they have ended. */
  cutSilent?: boolean;
  /** When each instance learns that the upstreams are there and cold. */
  learnsAt(index: number): number;
  cold: number;
  /** Whether an instance has a request to send at a step. */
  isPressed?(index: number, now: number): boolean;
  end: number;
}

/** Returns the times at which requests arrive, by upstream. */
function play(scene: Scene): number[][] {
  const {count, zones, profile = PROFILE, tolerance = TOLERANCE} = scene;
  const {startsAt = -6 * SECOND} = scene;
  const members: FleetMember[] = Array.from({length: count}, (_, index) => ({
    address: `10.0.${index}.1:7`,
    zone: `zone-${index % zones}`,
  }));
  const instances = members.map(() => ({
    cold: new ColdUpstreams(tolerance),
    memory: new FleetMemory(count > 1),
    view: undefined as ReturnType<FleetMemory['update']>,
  }));
  const isDown = (index: number, now: number) =>
    scene.isCut(index) && now >= scene.cutFrom && now < scene.cutUntil;
  const sees = (viewer: number, other: number, now: number) => {
    const lag = ((viewer * 31 + other * 17) % 10) * 100;
    const lastBefore = scene.cutFrom + MEMBER_TIMEOUT + lag;
    const isAnyCut = scene.isCut(viewer) || scene.isCut(other);
    const isBack = now >= scene.cutUntil + lag;
    const isUp = now >= startsAt + lag && (!isAnyCut || now < lastBefore);
    return viewer === other || isUp || (isAnyCut && isBack);
  };
  const knownOf = (viewer: number, now: number) => {
    const perZone = new Map<string, number>();
    return members.filter(({zone}, other) => {
      const known = perZone.get(zone) ?? 0;
      const isOwnZone = zone === members[viewer]?.zone;
      const isKnown =
        sees(viewer, other, now) && (isOwnZone || known < KNOWN_OF_OTHER_ZONE);
      perZone.set(zone, known + (isKnown ? 1 : 0));
      return isKnown;
    });
  };
  const arrivals = Array.from({length: scene.upstreams}, (): number[] => []);
  const ids = arrivals.map((_, upstream) => `u${upstream}`);
  for (let now = startsAt; now < scene.end; now += STEP) {
    for (const [index, instance] of instances.entries()) {
      const {cold, memory} = instance;
      if (now % (10 * STEP) === 0) {
        const self = members[index] as FleetMember;
        instance.view = memory.update(
          {self, members: knownOf(index, now)},
          now,
        );
      }
      const learnsAt = Math.ceil(scene.learnsAt(index) / STEP) * STEP;
      if (now === learnsAt) {
        const entry = {cold: scene.cold};
        ids.forEach(id =>
          cold.recordListing(id, listing(id, entry), profile, false, now),
        );
      }
      const isSilent = scene.cutSilent === true && isDown(index, now);
      const isPressed = scene.isPressed?.(index, now) ?? true;
      if (now < learnsAt || isSilent || !isPressed) {
        continue;
      }
      for (const [upstream, id] of ids.entries()) {
        const permit = cold.permit(id, profile, instance.view, now);
        const hasColdTime = now < scene.learnsAt(0) + scene.cold;
        if (hasColdTime && permit?.wait === 0) {
          cold.recordSent(id, now);
          arrivals[upstream]?.push(now + ((index * 53 + now) % MAX_JITTER));
        }
      }
    }
  }
  return arrivals;
}

/** Returns how many requests a cold upstream may get in a second. */
function boundOf({
  profile = PROFILE,
  tolerance = TOLERANCE,
}: Partial<Scene>): number {
  const {overshoot, slack} = tolerance;
  return profile.coldRequestsPerSecond * overshoot + slack;
}

/** Returns the most arrivals in any second. */
function mostInSecond(times: readonly number[]): number {
  const sorted = [...times].sort((a, b) => a - b);
  const counts = sorted.map(
    (from, first) =>
      sorted.slice(first).filter(time => time < from + SECOND).length,
  );
  return Math.max(0, ...counts);
}

const WHOLE: Scene = {
  count: 84,
  zones: 4,
  upstreams: 4,
  isCut: () => false,
  cutFrom: 0,
  cutUntil: 0,
  learnsAt: index => (index % 10) * 100,
  cold: 12 * SECOND,
  end: 12 * SECOND,
};

const SCENES: {name: string; scene: Partial<Scene>; uses?: number}[] = [
  {name: 'nobody is cut off', scene: {}, uses: 0.5},
  {name: 'a zone is cut off', scene: {isCut: index => index % 4 === 1}},
  {
    name: 'each instance is cut off',
    scene: {isCut: () => true, cutFrom: -5 * SECOND, cutUntil: 20 * SECOND},
  },
  {
    name: 'all have just started',
    scene: {startsAt: 0, learnsAt: () => 0},
    uses: 0.3,
  },
  {
    name: 'many are cut off, and the bound is small',
    scene: {
      upstreams: 16,
      isCut: index => index % 5 < 2,
      profile: {...PROFILE, coldRequestsPerSecond: 2},
      tolerance: {overshoot: 1, slack: 0},
    },
  },
  {
    name: 'some are cut off from their start on',
    scene: {
      isCut: index => index % 35 === 9,
      cutFrom: -10 * SECOND,
      cutUntil: SECOND,
      profile: {...PROFILE, coldRequestsPerSecond: 3},
      tolerance: {overshoot: 1, slack: 0},
    },
  },
  {name: 'one instance', scene: {count: 1, zones: 1}, uses: 0.6},
  {
    name: 'one of two ends',
    scene: {count: 2, zones: 1, isCut: index => index === 0, cutSilent: true},
    uses: 0.3,
  },
  {
    name: 'many zones',
    scene: {count: 48, zones: 24, isCut: index => index % 3 === 0},
    uses: 0.5,
  },
];

describe('cold upstreams', () => {
  for (const {name, scene, uses = 0} of SCENES) {
    it(`get no more than their bound, and use it: ${name}`, () => {
      const arrivals = play({...WHOLE, cutUntil: 20 * SECOND, ...scene});
      for (const times of arrivals) {
        expect(mostInSecond(times)).to.be.at.most(boundOf(scene));
        expect(times.length / (11 * 12)).to.be.at.least(uses);
      }
    });
  }

  it('get no more than their bound with any instances cut off at any time', () => {
    const scenes = fc.record({
      share: fc.double({min: 0, max: 1, noNaN: true}),
      salt: fc.nat(1_000),
      cutFrom: fc.integer({min: -10, max: 8}),
      cutFor: fc.integer({min: 0, max: 12}),
      perSecond: fc.constantFrom(3, 11),
      tolerance: fc.constantFrom({overshoot: 1, slack: 0}, TOLERANCE),
      cutSilent: fc.boolean(),
    });
    fc.assert(
      fc.property(scenes, ({share, salt, cutFrom, cutFor, ...rest}) => {
        const {perSecond: coldRequestsPerSecond, tolerance} = rest;
        const scene: Scene = {
          ...WHOLE,
          upstreams: 2,
          isCut: index => ((index * 7919 + salt * 104_729) % 997) / 997 < share,
          cutFrom: cutFrom * SECOND,
          cutUntil: (cutFrom + cutFor) * SECOND,
          cutSilent: rest.cutSilent,
          profile: {...PROFILE, coldRequestsPerSecond},
          tolerance,
        };
        const counts = play(scene).map(mostInSecond);
        return Math.max(...counts) <= boundOf(scene);
      }),
      {numRuns: 15, seed: 1},
    );
  }).timeout(60_000);

  it('are all used in a burst after they come back together', () => {
    // Each instance has ten requests a second.
    const isPressed = (index: number, now: number) =>
      (now / STEP + index) % 4 === 0;
    const scene = {upstreams: 16, isPressed, cold: 3 * SECOND};
    const arrivals = play({...WHOLE, ...scene, learnsAt: () => 0});
    for (const times of arrivals) {
      expect(mostInSecond(times)).to.be.at.most(boundOf(WHOLE));
      expect(times.length).to.be.at.least(0.5 * 11 * 3);
    }
  });

  it('are taken over within some seconds when their sender ends', () => {
    const tight = {
      profile: {...PROFILE, coldRequestsPerSecond: 1},
      tolerance: {overshoot: 1, slack: 0},
    };
    const scene = {...WHOLE, ...tight, upstreams: 1, count: 9, zones: 3};
    const alone = Array.from({length: 9}, (_, index) => {
      const isCut = (other: number) => other === index;
      const [times = []] = play({
        ...scene,
        isCut,
        cutSilent: true,
        cutFrom: 2 * SECOND,
        cutUntil: 20 * SECOND,
        learnsAt: () => 0,
      });
      return {
        early: times.filter(time => time < 2 * SECOND).length,
        between: times.filter(time => time > 2.3 * SECOND && time < 5 * SECOND)
          .length,
        late: times.filter(time => time > 9 * SECOND).length,
      };
    });
    expect(alone.filter(({between}) => between === 0)).to.have.length(1);
    for (const {early, late} of alone) {
      expect(early).to.be.at.least(1);
      expect(late).to.be.at.least(1);
    }
  });

  const process = {id: 'u', startedAt: 1};
  const knowledge: {
    name: string;
    record(cold: ColdUpstreams): void;
    /** Times until when it is cold, from 0. */
    until: number;
  }[] = [
    {
      name: 'in its entry',
      record: cold => list(cold, {cold: 2_000}),
      until: 2_000,
    },
    {
      name: 'not, by the first list',
      record: cold => list(cold, {}, true),
      until: 0,
    },
    {
      name: 'as long as its service says when it is new',
      record: cold => list(cold, {}),
      until: 3_000,
    },
    {
      name: 'not, if a later entry of the same process says so',
      record: cold => {
        list(cold, {cold: 2_000});
        list(cold, {cold: 0});
      },
      until: 0,
    },
    {
      name: 'again with a new process',
      record: cold => {
        list(cold, {}, true);
        list(cold, {startedAt: 2});
      },
      until: 3_000,
    },
    {
      name: 'as long as a process says',
      record: cold => {
        list(cold, {}, true);
        cold.recordCold(process, 1_000, 0);
      },
      until: 1_000,
    },
    {
      name: 'not, if another process said so',
      record: cold => {
        list(cold, {}, true);
        cold.recordCold({...process, startedAt: 7}, 1_000, 0);
      },
      until: 0,
    },
    {
      name: 'still, if an older response says that it is not',
      record: cold => {
        list(cold, {});
        cold.recordWarm(process, -1);
      },
      until: 3_000,
    },
    {
      name: 'not, if a later response says so',
      record: cold => {
        list(cold, {});
        cold.recordWarm(process, 1);
      },
      until: 0,
    },
    {
      name: 'when it may have turned so unseen',
      record: cold => {
        list(cold, {}, true);
        cold.recordUnseen('u', PROFILE, 0);
      },
      until: 3_000,
    },
    {
      name: 'an hour at most',
      record: cold => list(cold, {cold: 1e300}),
      until: 3_600_000,
    },
  ];

  function list(
    cold: ColdUpstreams,
    fields: Partial<UpstreamListing>,
    isFirst = false,
  ): void {
    cold.recordListing('u', listing('u', fields), PROFILE, isFirst, 0);
  }

  for (const {name, record, until} of knowledge) {
    it(`are known to be cold: ${name}`, () => {
      const cold = new ColdUpstreams(TOLERANCE);
      record(cold);
      expect(cold.isCold('u', Math.max(0, until - 1))).to.equal(until > 0);
      expect(cold.isCold('u', until)).to.equal(false);
    });
  }

  it('are not cold when the same process is listed again after an outage', () => {
    const cold = new ColdUpstreams(TOLERANCE);
    const hour = 3_600 * SECOND;
    list(cold, {}, true);
    cold.recordListing('u', undefined, undefined, false, hour);
    cold.prune(hour + SECOND);
    const now = hour + 2 * SECOND;
    cold.recordListing('u', listing('u'), PROFILE, false, now);
    expect(cold.isCold('u', now)).to.equal(false);
  });

  it('are held back a while if they turn cold in use', () => {
    const cold = new ColdUpstreams(TOLERANCE);
    const self = {address: 'a', zone: 'z'};
    list(cold, {}, true);
    cold.recordCold(process, 10_000, 0);
    const fleet = {self, members: [self]};
    expect(cold.permit('u', PROFILE, fleet, 0)?.wait).to.be.at.least(SECOND);
  });

  const memoryTimes = [
    {name: 'started', times: [0], knows: false},
    {name: 'learned of the others', times: [0, 2, 4], knows: true},
    {name: 'been suspended', times: [0, 2, 4, 400], knows: false},
    {name: 'been back for long', times: [0, 400, 402, 404], knows: true},
    {name: 'seen no other', times: [0, 2, 4, 6], peers: 0, knows: false},
  ];
  for (const {name, times, peers = 1, knows} of memoryTimes) {
    it(`get ${knows ? '' : 'no '}requests of one that has ${name}`, () => {
      const memory = new FleetMemory(true);
      const self = {address: 'a', zone: 'z'};
      const peer = {address: 'b', zone: 'z'};
      const members = peers > 0 ? [self, peer] : [self];
      const view = {self, members};
      const views = times.map(time => memory.update(view, time * SECOND));
      expect(views.at(-1) !== undefined).to.equal(knows);
    });
  }

  it('are not held back without a rate', () => {
    const cold = new ColdUpstreams(TOLERANCE);
    list(cold, {cold: 2_000});
    const profile = {...PROFILE, coldRequestsPerSecond: 0};
    expect(cold.permit('u', profile, undefined, 0)).to.equal(undefined);
    expect(cold.permit('u', PROFILE, undefined, 0)?.wait).to.equal(2_000);
  });
});
