/** The place of an event in its stream, by identifiers of which some are wrong. */
import {expect} from 'chai';
import {
  EventNumbering,
  EventSuccession,
} from '../../lib/requests/event_numbering.js';
import type {StreamEvent} from '../../lib/requests/event_reader.js';

/** Returns an event; undefined stands for an event without an identifier. */
function event(id: string | undefined): StreamEvent {
  return {bytes: Buffer.alloc(0), id, isComment: false};
}

const POSITIONS: Array<{
  name: string;
  start?: string;
  ids: Array<string | undefined>;
  position: number | undefined;
}> = [
  {name: 'events in turn', ids: ['1', '2', '3'], position: 3},
  {name: 'a resumed stream', start: '7', ids: ['8', '9'], position: 9},
  {name: 'numbers from zero', ids: ['0', '1', '2'], position: 2},
  {name: 'steps of five', ids: ['5', '10', '15'], position: 15},
  {
    name: 'a digit too many at the end',
    ids: ['1', '2', '93'],
    position: undefined,
  },
  {name: 'a digit too many before the end', ids: ['1', '92', '3'], position: 3},
  {
    name: 'a low identifier at the end',
    ids: ['1', '2', '1'],
    position: undefined,
  },
  {name: 'a repeated identifier', ids: ['1', '2', '2'], position: undefined},
  {name: 'a low one before the end', ids: ['1', '2', '1', '4'], position: 4},
  {name: 'a wrong first identifier', ids: ['9'], position: undefined},
  {
    name: 'no identifier at the end',
    ids: ['1', undefined],
    position: undefined,
  },
  {name: 'no identifier before', ids: ['1', undefined, '3'], position: 3},
  {name: 'a control character', ids: ['1', '\u0007'], position: undefined},
  {name: 'a sign', ids: ['1', '+2'], position: undefined},
  {name: 'a fraction', ids: ['1', '2.0'], position: undefined},
  {name: 'an exponent', ids: ['1', '2e0'], position: undefined},
  {name: 'spaces', ids: ['1', ' 2 '], position: undefined},
  {
    name: 'beyond safe integers',
    ids: ['1', '9'.repeat(30)],
    position: undefined,
  },
  {
    name: 'a hundred thousand digits',
    ids: ['1', '9'.repeat(100_000)],
    position: undefined,
  },
  {name: 'texts', ids: ['a', 'b', 'c'], position: undefined},
  {
    name: 'a start that is no number',
    start: 'x',
    ids: ['1', '2'],
    position: undefined,
  },
  {name: 'irregular steps', ids: ['3', '4', '9', '20'], position: undefined},
];

const SUCCESSIONS: Array<{
  name: string;
  ids: string[];
  id: string | undefined;
  succession: EventSuccession;
}> = [
  {
    name: 'the next one',
    ids: ['1', '2'],
    id: '3',
    succession: EventSuccession.Next,
  },
  {
    name: 'the last one',
    ids: ['1', '2'],
    id: '2',
    succession: EventSuccession.Repeated,
  },
  {
    name: 'the first one',
    ids: ['1', '2'],
    id: '1',
    succession: EventSuccession.Repeated,
  },
  {
    name: 'one too far',
    ids: ['1', '2'],
    id: '4',
    succession: EventSuccession.Unknown,
  },
  {
    name: 'without an identifier',
    ids: ['1', '2'],
    id: undefined,
    succession: EventSuccession.Unknown,
  },
  {
    name: 'after a doubtful event',
    ids: ['1', '92'],
    id: '3',
    succession: EventSuccession.Unknown,
  },
  {
    name: 'the next of steps of five',
    ids: ['5', '10', '15'],
    id: '20',
    succession: EventSuccession.Next,
  },
];

function numberingAfter(
  ids: Array<string | undefined>,
  start?: string,
): EventNumbering {
  const numbering = new EventNumbering(start);
  ids.forEach(id => numbering.record(event(id)));
  return numbering;
}

describe('the numbering of the events of a stream', () => {
  for (const {name, start, ids, position} of POSITIONS) {
    it(`is certain only where it can be: ${name}`, () => {
      expect(numberingAfter(ids, start).position()).to.equal(position);
    });
  }

  for (const {name, ids, id, succession} of SUCCESSIONS) {
    it(`places an event of a resumed stream: ${name}`, () => {
      const numbering = numberingAfter(ids);
      expect(numbering.succession(event(id))).to.equal(succession);
    });
  }

  it('does not count comments', () => {
    const numbering = numberingAfter(['1', '2']);
    numbering.record({...event(undefined), isComment: true});
    expect(numbering.position()).to.equal(2);
  });
});
