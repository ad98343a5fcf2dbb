/**
 * Sequences that once violated an invariant, as shrunk by the fuzzer. Each guards
 * against the fault that its title names.
 */
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
      name: 'does not fence a leaving entry when the answer to its leave is lost',
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
      name: 'lets no entry leave while a request waits for tokens',
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
      name: 'releases tokens once if they were sent to an entry that has left',
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
      name: 'counts tokens of an entry that passed them on and never wrote',
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
      name: 'exchanges no tokens with peers once an entry has begun to leave',
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
