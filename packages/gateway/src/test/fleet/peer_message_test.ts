/** Heartbeats of builds that do not report their links, or report nonsense. */
import {expect} from 'chai';
import {
  PEER_MESSAGE_SCHEMA,
  PeerMessageKind,
} from '../../lib/fleet/peer_message.js';

const HEARTBEAT = {
  kind: PeerMessageKind.Heartbeat,
  instance: 'g1',
  version: 1,
  revision: 1,
  leaving: false,
  capacity: 10,
  storeSilence: 0,
  follows: true,
  relays: false,
  asks: false,
  count: 1,
  members: [],
};

const LINKS = {size: 20, use: 0.2, unreadyFrom: 0.8};

const CASES = [
  {name: 'without links', fields: {}, isValid: true},
  {name: 'with links', fields: {linkUse: 0.4, zoneLinks: LINKS}, isValid: true},
  {name: 'with a negative use', fields: {linkUse: -1}, isValid: false},
  {name: 'with a huge use', fields: {linkUse: 1e300}, isValid: false},
  {
    name: 'with a size that is no count',
    fields: {zoneLinks: {...LINKS, size: 1.5}},
    isValid: false,
  },
];

describe('a heartbeat', () => {
  for (const {name, fields, isValid} of CASES) {
    it(`is ${isValid ? 'understood' : 'refused'}: ${name}`, () => {
      const message = {...HEARTBEAT, ...fields};
      const {success} = PEER_MESSAGE_SCHEMA.safeParse(message);
      expect(success).to.equal(isValid);
    });
  }
});
