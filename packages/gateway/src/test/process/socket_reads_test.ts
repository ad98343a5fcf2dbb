/** Steps wait until what lies in the sockets has been read (issue 49, GONE). */
import {connect, createServer} from 'node:net';
import {expect} from 'chai';
import {SocketReads} from '../../lib/process/socket_reads.js';
import type {AddressInfo} from 'node:net';

describe('steps after the reading of sockets', () => {
  it('run in their order', async () => {
    const reads = new SocketReads({now: () => 0});
    const ran: number[] = [];
    [1, 2, 3].forEach(step => reads.runAfter(() => void ran.push(step)));
    expect(ran).to.deep.equal([]);
    await reads.completed();
    expect(ran).to.deep.equal([1, 2, 3]);
  });

  it('let the sockets be read in between if they take long', async () => {
    let now = 0;
    const reads = new SocketReads({now: () => now});
    let turns = 0;
    const countTurn = () => {
      turns += 1;
      setImmediate(countTurn).unref();
    };
    countTurn();
    const ranIn: number[] = [];
    for (let step = 0; step < 4; step++) {
      reads.runAfter(() => {
        now += 30;
        ranIn.push(turns);
      });
    }
    await reads.completed();
    const [first = 0] = ranIn;
    expect(ranIn).to.deep.equal([first, first, first + 1, first + 1]);
  });

  it('know of an end that arrived before', async () => {
    const server = createServer({allowHalfOpen: true});
    await new Promise<void>(resolve => server.listen(0, resolve));
    const reads = new SocketReads({now: () => 0});
    const hadEnded = new Promise<boolean>(resolve => {
      server.on('connection', socket => {
        socket.on('data', () => {
          reads.runAfter(() => resolve(socket.readableEnded));
        });
      });
    });
    const {port} = server.address() as AddressInfo;
    const caller = connect(port, '127.0.0.1');
    caller.end('request');
    expect(await hadEnded).to.equal(true);
    server.close();
  });
});
