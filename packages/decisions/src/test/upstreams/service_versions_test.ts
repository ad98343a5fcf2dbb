/**
 * A service must count as having one version only if no stream that still runs
 * can have begun at another one, also after all instances have ended.
 */
import {expect} from 'chai';
import {ServiceVersions} from '../../lib/upstreams/service_versions.js';
import type {Millis} from '../../lib/base/clock.js';
import type {VersionRecord} from '../../lib/upstreams/service_versions.js';

const SERVICE = 'models';
const ERA = 2;
const LIFETIME: Millis = 10_000;

function record(
  versions: string[],
  complete: boolean,
  era = ERA,
): VersionRecord {
  return {era, services: {[SERVICE]: {versions, complete}}};
}

interface RestartCase {
  name: string;
  /** What the instances before recorded; undefined if nothing. */
  recorded: VersionRecord | undefined;
  listed: string[];
  /** When the read of the record began; the list is known at 100. */
  readAt?: Millis;
  after: Millis;
  only: string | undefined;
}

const RESTARTS: RestartCase[] = [
  {
    name: 'without a record',
    recorded: undefined,
    listed: ['v1'],
    after: 500,
    only: undefined,
  },
  {
    name: 'without a record, after the lifetime of a stream',
    recorded: undefined,
    listed: ['v1'],
    after: 10_100,
    only: 'v1',
  },
  {
    name: 'with a complete record',
    recorded: record(['v1'], true),
    listed: ['v1'],
    after: 500,
    only: 'v1',
  },
  {
    name: 'with an incomplete record',
    recorded: record(['v1'], false),
    listed: ['v1'],
    after: 500,
    only: undefined,
  },
  {
    name: 'with a record of a version that is gone',
    recorded: record(['v1'], true),
    listed: ['v2'],
    after: 500,
    only: undefined,
  },
  {
    name: 'with a record of both versions',
    recorded: record(['v1', 'v2'], true),
    listed: ['v2'],
    after: 500,
    only: undefined,
  },
  {
    name: 'with a record from before the store went back',
    recorded: record(['v1'], true, ERA - 1),
    listed: ['v1'],
    after: 500,
    only: undefined,
  },
  {
    name: 'with a record that was read before the list of upstreams',
    recorded: record(['v1'], true),
    listed: ['v1'],
    readAt: 50,
    after: 500,
    only: undefined,
  },
  {
    name: 'with a record of an unknown version',
    recorded: record([''], true),
    listed: [''],
    after: 500,
    only: undefined,
  },
];

describe('the versions of a service', () => {
  let versions: ServiceVersions;
  const note = (version: string, now: Millis) =>
    versions.note(SERVICE, version, now);

  beforeEach(() => {
    versions = new ServiceVersions();
  });

  for (const {name, recorded, listed, readAt, after, only} of RESTARTS) {
    it(`in an instance that starts ${name}: ${only ?? 'unknown'}`, () => {
      versions.markKnown(100);
      listed.forEach(version => note(version, 100));
      if (recorded !== undefined) {
        versions.learn(recorded, {era: ERA, startedAt: readAt ?? 110}, 120);
      }
      listed.forEach(version => note(version, after));
      expect(versions.only(SERVICE, LIFETIME, after)).to.equal(only);
    });
  }

  const recordCases = [
    {name: 'one version', gone: undefined, now: 30_000, expected: ['v2']},
    {name: 'a second one', gone: 29_000, now: 30_000, expected: ['v1', 'v2']},
    {
      name: 'one that is gone, as some may not know it',
      gone: 15_000,
      now: 30_000,
      expected: ['v1', 'v2'],
    },
    {name: 'one that is long gone', gone: 5_000, now: 30_000, expected: ['v2']},
  ];
  for (const {name, gone, now, expected} of recordCases) {
    it(`are recorded with ${name}`, () => {
      versions.markKnown(0);
      if (gone !== undefined) {
        note('v1', gone);
      }
      note('v2', now);
      const lifetimes = new Map([[SERVICE, LIFETIME]]);
      const {services} = versions.toRecord(lifetimes, ERA, now);
      expect(services).to.deep.equal({
        [SERVICE]: {versions: expected, complete: true},
      });
      const isMixed = versions.isMixed(SERVICE, LIFETIME, now);
      expect(isMixed).to.equal(expected.length > 1);
    });
  }

  it('do not stay because the same record is learned, but for its time', () => {
    versions.markKnown(0);
    note('v2', 1);
    versions.learn(record(['v1', 'v2'], true), {era: ERA, startedAt: 1}, 1_000);
    note('v2', 40_000);
    expect(versions.only(SERVICE, LIFETIME, 40_000)).to.equal('v2');
  });
});
