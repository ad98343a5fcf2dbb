/**
 * A restarted entry has the address of its former run. What was meant for that,
 * such as tokens, must not reach it.
 */
import {expect} from 'chai';
import {SILENT_LOG} from '@citrontrestle/runtime';
import {z} from 'zod';
import {FleetLinks} from '../lib/fleet_links.js';

function createLinks(holder: string, port: number, received: string[]) {
  const fleetKey = 'a key that is only used in this test';
  return new FleetLinks<string>(
    {holder, zone: 'z', fleetKey, host: '127.0.0.1', port},
    z.string(),
    {onMessage: (_from, message) => received.push(message)},
    SILENT_LOG,
  );
}

describe('links to a restarted entry', () => {
  const cases: [name: string, holders: (string | undefined)[]][] = [
    ['over a new link', []],
    ['over a link in use', [undefined]],
  ];
  for (const [name, earlier] of cases) {
    it(`drop a message to its former run ${name}`, async () => {
      const received: string[] = [];
      const restarted = createLinks('b.2', 0, received);
      const address = await restarted.start();
      const links = createLinks('a.1', 0, []);
      await links.start();
      const waitFor = async (count: number) => {
        while (received.length < count) {
          await new Promise(resolve => setTimeout(resolve, 5));
        }
      };
      for (const holder of earlier) {
        links.send(address, 'earlier', holder);
      }
      await waitFor(earlier.length);
      links.send(address, 'former run', 'b.1');
      links.send(address, 'this run', 'b.2');
      links.send(address, 'any run');
      await waitFor(earlier.length + 2);
      links.stop();
      restarted.stop();
      expect(received.slice(earlier.length)).to.deep.equal([
        'this run',
        'any run',
      ]);
    });
  }
});
