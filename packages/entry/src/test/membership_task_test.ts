/** Those who deal with peers hear of each one as soon as it is heard. */
import {expect} from 'chai';
import {ManualClock} from '@citrontrestle/decisions';
import {MembershipTask} from '../lib/membership_task.js';

describe('membership of an entry', () => {
  it('tells of a peer when it is heard, not at the next probe', () => {
    const told: string[][] = [];
    const task = new MembershipTask(
      {address: '10.0.0.1:1', seeds: []},
      {
        instances: {read: () => Promise.resolve([])},
        clock: new ManualClock(),
        probe: () => undefined,
        listed: () => undefined,
        changed: peers => told.push(peers.map(peer => peer.holder ?? '')),
      },
    );
    task.heard('10.0.0.2:1', 'z1', 'entry-2.a');
    task.heard('10.0.0.2:1', 'z1', 'entry-2.a');
    task.heard('10.0.0.2:1', 'z1', 'entry-2.b');
    expect(told).to.deep.equal([['entry-2.a'], ['entry-2.b']]);
  });
});
