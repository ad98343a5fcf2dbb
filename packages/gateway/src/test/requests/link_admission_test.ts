/** The decisions at a busy link, put together as an instance does. */
import {LinkLoad, summariseLinks} from '@citrontrestle/decisions';
import {expect} from 'chai';
import {LinkAdmission} from '../../lib/requests/link_admission.js';
import {RefusalReason} from '../../lib/requests/refusal.js';
import {ReturnPlanner} from '../../lib/requests/return_planner.js';
import type {Dialect} from '../../lib/process/ports.js';
import type {RouteTable, ZoneLinks} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';
import type {IncomingMessage} from 'node:http';

const MBPS = 8;
/** Bytes that such a link carries in a millisecond. */
const BYTES_PER_MS = 1_000;

const CALM = Array<number>(7).fill(0.1);

interface Case {
  name: string;
  use: number;
  bytes: number;
  /** Utilisation of the other links of the zone; undefined if not known. */
  others?: number[];
  /** Priority of the account; the route has 1. */
  priority?: number;
  /** Least and most delay of a refusal; undefined if the body is read. */
  delay?: [number, number];
}

const CASES: Case[] = [
  {name: 'with room', use: 0.4, bytes: 60_000, others: CALM},
  {
    name: 'full, while the balancer still sends callers here',
    use: 0.99,
    bytes: 1_000,
    others: CALM,
    delay: [2_000, 3_400],
  },
  {
    name: 'full like the whole zone',
    use: 0.99,
    bytes: 1_000,
    others: Array<number>(7).fill(0.9),
    delay: [100, 200],
  },
  {name: 'full, alone', use: 0.99, bytes: 0, others: [], delay: [100, 200]},
  {
    name: 'nearly full, for an important account',
    use: 0.95,
    bytes: 0,
    others: [],
    priority: 0,
  },
  {
    name: 'nearly full, for an unimportant account',
    use: 0.95,
    bytes: 0,
    others: [],
    priority: 5,
    delay: [50, 200],
  },
];

describe('a request at an instance with its link', () => {
  for (const {name, use, bytes, others, priority, delay} of CASES) {
    it(`${delay === undefined ? 'is read' : 'is refused'}: ${name}`, () => {
      let now = 0;
      const clock = {now: () => now};
      const linkLoad = new LinkLoad(MBPS);
      const context = {
        linkLoad,
        routeTable: {
          findRoute: () => ({isPublic: false, priority: 1, timeout: 60_000}),
          findAccount: () => ({priority}),
        } as unknown as RouteTable,
        dialect: {
          parseCallerRequest: () => ({id: 'r1', host: 'h', path: '/'}),
        } as unknown as Dialect,
        returnPlanner: new ReturnPlanner(linkLoad, clock, () => 0.5),
        clock,
        log: {info: () => undefined} as unknown as Log,
        zoneLinks: (): ZoneLinks | undefined =>
          others && summariseLinks([use, ...others]),
      };
      const admission = new LinkAdmission(context);
      for (; now < 1_500; now += 10) {
        linkLoad.recordBytes(use * BYTES_PER_MS * 10, 0, now);
        admission.isReady();
      }
      const incoming = {
        method: 'POST',
        url: '/',
        headers: {'content-length': String(bytes)},
      } as unknown as IncomingMessage;
      const refused = admission.refusalOf(incoming);
      if (delay === undefined) {
        expect(refused).to.equal(undefined);
      } else {
        const [least, most] = delay;
        expect(refused?.id).to.equal('r1');
        expect(refused?.retryAfter).to.be.within(least, most);
      }
    });
  }
});

describe('the delay of a refusal that is not for the link', () => {
  const linkLoad = new LinkLoad(MBPS);
  const planner = new ReturnPlanner(linkLoad, {now: () => 0}, () => 0);
  const caller = {priority: 1, remainingTime: 60_000};
  const CASES = [
    {reason: RefusalReason.BudgetExhausted, rest: 0, delay: undefined},
    {reason: RefusalReason.Stopping, rest: 0, delay: 100},
    {reason: RefusalReason.Overloaded, rest: 0, delay: 500},
    {reason: RefusalReason.Overloaded, rest: 0, delay: 1_000},
    {reason: RefusalReason.NoUpstream, rest: 3_000, delay: 3_000},
  ];
  it('follows the load of the service while it has upstreams', () => {
    const busy = new ReturnPlanner(linkLoad, {now: () => 0}, () => 0);
    for (let i = 0; i < 400; i++) {
      busy.recordAnswer('s');
    }
    const delayOf = (reason: RefusalReason, service: string) =>
      Math.round(busy.delayOfService(service, reason, caller) ?? 0);
    expect(delayOf(RefusalReason.Overloaded, 's')).to.equal(11);
    expect(delayOf(RefusalReason.Overloaded, 'other')).to.equal(500);
    expect(delayOf(RefusalReason.NoUpstream, 's')).to.equal(500);
  });

  CASES.forEach(({reason, rest, delay}, index) => {
    it(`${index}: ${reason}, rest of ${rest} ms: ${delay}`, () => {
      const told = planner.delayOfService('s', reason, caller, rest);
      expect(told).to.equal(delay);
    });
  });
});
