/**
 * Many callers that are refused at once must not return together, nor in vain:
 * each finds the room that it was told of, the most important first.
 */
import {expect} from 'chai';
import * as fc from 'fast-check';
import {
  MAX_RETURN_DELAY,
  returnElsewhere,
  ReturnTimes,
} from '../../lib/admission/return_times.js';
import {ServiceRoom} from '../../lib/admission/room_forecast.js';
import type {RefusedCaller} from '../../lib/admission/return_times.js';

/** Seed of the random sequences. */
const FUZZ_SEED = 1;

const INTERVAL = 20;
const FORECAST = {wait: 100, interval: INTERVAL};
const PATIENT: RefusedCaller = {priority: 1, remainingTime: 60_000};

/** Returns the delays told to callers that are refused at the same moment. */
function tellAll(callers: RefusedCaller[], random = 0): number[] {
  const returns = new ReturnTimes();
  return callers.map(caller => returns.tell(caller, FORECAST, 0, random));
}

describe('the times at which refused callers return', () => {
  const CASES: Array<{
    name: string;
    callers: RefusedCaller[];
    delays: number[];
  }> = [
    {name: 'the first finds room first', callers: [PATIENT], delays: [100]},
    {
      name: 'one after the other',
      callers: [PATIENT, PATIENT, PATIENT],
      delays: [100, 120, 140],
    },
    {
      name: 'an important one before the less important ones told after it',
      callers: [PATIENT, {...PATIENT, priority: 0}, PATIENT],
      delays: [100, 100, 140],
    },
    {
      name: 'no later than the caller honours',
      callers: [{priority: 1, remainingTime: 150}],
      delays: [50],
    },
    {
      name: 'with a priority that is no number, last',
      callers: [{...PATIENT, priority: Infinity}, PATIENT],
      delays: [100, 100],
    },
  ];
  for (const {name, callers, delays} of CASES) {
    it(name, () => {
      expect(tellAll(callers)).to.deep.equal(delays);
    });
  }

  it('lie apart as room does, are bounded, and put no one before a more important one', () => {
    const callers = fc.array(
      fc.record({
        priority: fc.integer({min: -2, max: 12}),
        remainingTime: fc.constant(1e9),
      }),
      {maxLength: 400},
    );
    fc.assert(
      fc.property(
        callers,
        fc.double({min: 0, max: 0.99, noNaN: true}),
        (all, random) => {
          const delays = tellAll(all, random);
          const told = new Map<number, number>();
          all.forEach(({priority}, i) => {
            const delay = delays[i] ?? 0;
            const spread = random * INTERVAL;
            expect(delay).to.be.within(10, MAX_RETURN_DELAY + spread);
            const before = told.get(priority);
            if (before !== undefined && delay < MAX_RETURN_DELAY) {
              expect(delay).to.be.at.least(before + INTERVAL - 1e-6);
            }
            told.set(priority, delay);
          });
          const [urgent] = tellAll([{...PATIENT, priority: 0}], random);
          expect(urgent).to.be.at.most(Math.min(...delays, Infinity) + 1e-6);
        },
      ),
      {seed: FUZZ_SEED},
    );
  });

  it('are forgotten once they have passed', () => {
    const returns = new ReturnTimes();
    for (let i = 0; i < 1_000; i++) {
      returns.tell(PATIENT, FORECAST, 0, 0);
    }
    expect(returns.tell(PATIENT, FORECAST, 10_000, 0)).to.equal(100);
  });

  it('are short and apart where others have room', () => {
    const delays = [0, 0.5, 0.9].map(random =>
      returnElsewhere(PATIENT, 0, random),
    );
    expect(delays).to.deep.equal([10, 20, 28]);
    const impatient = {priority: 0, remainingTime: 0};
    expect(returnElsewhere(impatient, 0, 0.5)).to.equal(10);
  });

  it('begin when others are reached, where they have room', () => {
    const delays = [0, 0.5].map(random =>
      returnElsewhere(PATIENT, 2_000, random),
    );
    expect(delays).to.deep.equal([2_010, 2_520]);
  });
});

describe('the room that a service is expected to have', () => {
  const USUAL_WAIT = 500;
  const CASES = [
    {name: 'nothing known', answered: 0, refused: 1, wait: 500, interval: 500},
    {name: 'all refused', answered: 0, refused: 50, wait: 500, interval: 10},
    {name: 'few refused', answered: 400, refused: 4, wait: 15, interval: 10},
    {
      name: 'half refused',
      answered: 400,
      refused: 400,
      wait: 260,
      interval: 10,
    },
    {name: 'rare answers', answered: 1, refused: 9, wait: 500, interval: 500},
  ];
  for (const {name, answered, refused, wait, interval} of CASES) {
    it(`${name}: in ${wait} ms, then every ${interval} ms`, () => {
      const room = new ServiceRoom();
      for (let i = 0; i < answered; i++) {
        room.recordAnswer(i);
      }
      for (let i = 0; i < refused; i++) {
        room.recordRefusal(i);
      }
      const forecast = room.forecast(USUAL_WAIT, 500);
      expect(Math.round(forecast.wait)).to.equal(wait);
      expect(forecast.interval).to.equal(interval);
      expect(room.forecast(USUAL_WAIT, 5_000).wait).to.equal(USUAL_WAIT);
    });
  }
});
