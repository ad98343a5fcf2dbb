/**
 * A relay that delays bytes keeps their order when the delay ends (soak seed
 * 6100: a stream's last event came before the delayed ones).
 */
import {connect, createServer} from 'node:net';
import {expect} from 'chai';
import {pause, Relay, RelayMode} from '@citrontrestle/stand_ins';
import type {AddressInfo} from 'node:net';

/** Time between two parts, so that each is forwarded by itself. */
const STEP = 30;

describe('a relay whose delay ends', () => {
  it('forwards bytes in their order, and then the end', async () => {
    let received = '';
    const server = createServer(socket => {
      socket.on('data', (bytes: Buffer) => {
        received += bytes.toString('latin1');
      });
      socket.on('error', () => undefined);
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const relay = new Relay(`127.0.0.1:${port}`);
    const [host, relayPort] = (await relay.start('127.0.0.1')).split(':');
    const caller = connect(Number(relayPort), host);
    relay.setMode(RelayMode.Delayed);
    for (const part of ['a', 'b']) {
      caller.write(part);
      await pause(STEP);
    }
    relay.setMode(RelayMode.Open);
    caller.end('c');
    await pause(20 * STEP);
    expect(received).to.equal('abc');
    relay.stop();
    server.close();
  });
});
