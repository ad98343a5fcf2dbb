/**
 * A peer that is heard from for the first time, or after a restart, must be
 * reported at once. If it were only reported with the next round of probes, the
 * wallet couldn't use it until then.
 */
import {expect} from 'chai';
import {ManualClock} from '@citrontrestle/decisions';
import {MembershipTask} from '../lib/membership_task.js';

describe('membership of an entry', () => {
  it('reports a new peer on its first message, before the next probe', () => {
    const reportedPeers: string[][] = [];
    const task = new MembershipTask(
      {address: '10.0.0.1:1', seeds: []},
      {
        instanceList: {read: () => Promise.resolve([])},
        clock: new ManualClock(),
        probe: () => undefined,
        onInstanceList: () => undefined,
        onPeersChanged: peers =>
          reportedPeers.push(peers.map(peer => peer.holder ?? '')),
      },
    );
    task.recordMessage('10.0.0.2:1', 'z1', 'entry-2.a');
    task.recordMessage('10.0.0.2:1', 'z1', 'entry-2.a');
    task.recordMessage('10.0.0.2:1', 'z1', 'entry-2.b');
    expect(reportedPeers).to.deep.equal([['entry-2.a'], ['entry-2.b']]);
  });
});
