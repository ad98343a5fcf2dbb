/** Cases that once broke a promise, shrunk by the fuzzer. */
import {expect} from 'chai';
import {checkAfterQuiescence} from '../lib/oracle.js';
import {FleetModel, MODEL_DEFAULTS} from '../lib/fleet_model.js';

type Action = (model: FleetModel) => void;

const SMALL_MODEL = {...MODEL_DEFAULTS, initialGrant: 3_000, cap: 0.3};

const rush =
  (budget: string, tokens: number): Action =>
  model => {
    for (
      let entryIndex = 0;
      entryIndex < SMALL_MODEL.entryCount;
      entryIndex++
    ) {
      model.request(entryIndex, budget, tokens);
    }
    model.advance(1_000);
  };
const lose =
  (entryIndex: number): Action =>
  model => {
    model.kill(entryIndex);
    model.release(entryIndex);
  };
const advance =
  (span: number): Action =>
  model =>
    model.advance(span);
const request =
  (entryIndex: number, tokens: number): Action =>
  model =>
    model.request(entryIndex, 'clubs', tokens);
const setFaults =
  (changes: Partial<FleetModel['store']['faults']>): Action =>
  model =>
    Object.assign(model.store.faults, changes);

describe('regressions', () => {
  const cases: {name: string; actions: Action[]; cap?: number}[] = [
    {
      name: 'a leave whose answer was lost is no fence',
      actions: [
        request(2, 1),
        advance(5),
        model => model.drain(2),
        setFaults({answersToLose: 3}),
        advance(58),
        model => model.kill(0),
        request(0, 1),
      ],
    },
    {
      name: 'an entry does not leave while a request waits for tokens',
      actions: [
        request(0, 1),
        model => model.release(0),
        request(3, 1),
        model => model.drain(3),
        setFaults({isDown: true}),
        model => model.freeze(0),
        setFaults({isDown: false}),
        setFaults({answersToLose: 1}),
        advance(67),
        model => model.request(0, 'clubs', 1, 'r1'),
      ],
    },
    {
      name: 'tokens passed to an entry that left are not released again',
      actions: [
        request(3, 1),
        advance(1),
        rush('clubs', 1),
        lose(0),
        model => model.drain(3),
        setFaults({answersToLose: 1}),
      ],
    },
    {
      name: 'an entry that passed tokens on and never wrote is counted',
      actions: [
        model => model.request(3, 'players', 1),
        model => model.freeze(1),
        advance(424),
        setFaults({addedLatency: 667}),
        lose(2),
        rush('players', 22),
        model => model.kill(3),
        model => model.wake(1),
        model => model.request(1, 'players', 1),
        model => model.release(3),
        request(0, 1),
        lose(0),
        advance(1),
      ],
    },
    {
      name: 'an entry deals with nobody once it has begun to leave',
      cap: 0.02,
      actions: [
        model => model.restart(0),
        request(0, 1),
        advance(313),
        advance(1222),
        rush('clubs', 1),
        model => model.freeze(0),
        lose(1),
        rush('clubs', 1),
        model => model.freeze(3),
        rush('clubs', 120),
        request(0, 1),
        model => model.setLinkCut(0, 0, false),
        setFaults({answersToLose: 1}),
        model => model.wake(0),
        model => model.drain(2),
        request(0, 1),
        setFaults({isDown: true}),
        model => model.drain(0),
      ],
    },
  ];
  for (const {name, actions, cap} of cases) {
    it(name, () => {
      const model = new FleetModel({
        ...SMALL_MODEL,
        cap: cap ?? SMALL_MODEL.cap,
      });
      for (const act of actions) {
        act(model);
        model.advance(1);
      }
      model.quiesce();
      expect(checkAfterQuiescence(model)).to.deep.equal([]);
    });
  }
});
