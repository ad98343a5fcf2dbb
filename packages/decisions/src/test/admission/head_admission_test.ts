/** A full link must not carry bodies of requests that are refused anyway. */
import {expect} from 'chai';
import {admitsHead} from '../../lib/admission/head_admission.js';

const LARGE = {bodyBytes: 40_000, bodyUtilisation: 0.3};
const SMALL = {bodyBytes: 1_000, bodyUtilisation: 0.01};
const HUGE = {bodyBytes: 4_000_000, bodyUtilisation: 30};

const CASES = [
  {name: 'a large body, link idle', ...LARGE, utilisation: 0.1, read: true},
  {name: 'a body over the link, idle', ...HUGE, utilisation: 0.1, read: true},
  {name: 'a body over the link', ...HUGE, utilisation: 0.6, read: false},
  {name: 'a large body that fits', ...LARGE, utilisation: 0.55, read: true},
  {
    name: 'a large body that others have room for',
    ...LARGE,
    utilisation: 0.55,
    othersHaveRoom: true,
    read: false,
  },
  {
    name: 'a small body while others have room',
    ...SMALL,
    utilisation: 0.85,
    othersHaveRoom: true,
    read: true,
  },
  {name: 'a small body, link full', ...SMALL, utilisation: 0.97, read: false},
  {
    name: 'an important one, link full',
    ...SMALL,
    utilisation: 0.97,
    priority: 0,
    read: true,
  },
  {
    name: 'an unimportant one, link nearly full',
    ...SMALL,
    utilisation: 0.88,
    priority: Infinity,
    read: false,
  },
];

describe('the head of a request at a busy link', () => {
  for (const {name, read, ...facts} of CASES) {
    it(`${read ? 'is read on' : 'is refused'}: ${name}`, () => {
      const decision = admitsHead({
        priority: 1,
        othersHaveRoom: false,
        ...facts,
      });
      expect(decision).to.equal(read);
    });
  }
});
