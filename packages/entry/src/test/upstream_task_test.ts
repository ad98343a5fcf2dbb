/** A load report that is sent again must not be taken for the next one. */
import {createServer} from 'node:http';
import {expect} from 'chai';
import {ManualClock, RoutingPolicy} from '@citrontrestle/decisions';
import {InstanceKind, InstanceState} from '@citrontrestle/platform';
import {UpstreamTask} from '../lib/upstream_task.js';
import type {AddressInfo, Socket} from 'node:net';

/** Number of load reports that the engine sends. */
const REPORTS = 2;

describe('load reports of upstreams', () => {
  it('records the second one although the first is sent again before it', async () => {
    let reports = 0;
    let last: {socket: Socket; report: string} | undefined;
    let resolveDone: () => void = () => undefined;
    const done = new Promise<void>(resolve => (resolveDone = resolve));
    const server = createServer((incoming, outgoing) => {
      if (reports === REPORTS) {
        resolveDone();
        return;
      }
      last?.socket.write(last.report);
      reports += 1;
      const load = {running: reports, waiting: 0, slots: 8, leaving: false};
      const body = JSON.stringify(load);
      const head = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}`;
      last = {socket: incoming.socket, report: `${head}\r\n\r\n${body}`};
      outgoing.end(body);
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    const {port} = server.address() as AddressInfo;
    const task = new UpstreamTask(
      {
        policy: RoutingPolicy.LeastLoaded,
        zone: 'z',
        zoneMs: 0,
        reportsPerSecond: 20,
        holder: 'holder',
      },
      new ManualClock(),
      () => 1,
      () => undefined,
    );
    const address = `127.0.0.1:${port}`;
    const {Engine} = InstanceKind;
    const state = InstanceState.Live;
    task.applyInstanceList([
      {id: 'engine', kind: Engine, zone: 'z', address, state},
    ]);
    task.start();
    await done;
    task.stop();
    server.close();
    server.closeAllConnections();
    const [upstream] = task.table.allStates();
    expect(upstream?.report?.running).to.equal(REPORTS);
  });
});
