/** The upstreams' fault of repeated refusals, as one connection sees it. */
import {connect} from 'node:net';
import {expect} from 'chai';
import {
  CopyOccasion,
  HostedServer,
  pause,
  RefusalCopier,
} from '@citrontrestle/stand_ins';
import {splitAddress} from '@citrontrestle/runtime';
import type {Socket} from 'node:net';

/** Sends a request over a connection. */
function sendOrder(socket: Socket, id: string): void {
  socket.write(
    `POST /order/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
  );
}

interface Case {
  occasion: CopyOccasion;
  status: number;
  /** Request that is sent after the refusal of `r1`. */
  nextId: string;
  /** Statuses and identifiers of all responses, in order. */
  responses: string[];
  /** Number of responses before the next request. */
  responsesBefore: number;
}

const CASES: Case[] = [
  {
    occasion: CopyOccasion.SameRequest,
    status: 503,
    nextId: 'r1',
    responses: ['503 r1', '503 r1', '200 r1'],
    responsesBefore: 1,
  },
  {
    occasion: CopyOccasion.SameRequestLater,
    status: 429,
    nextId: 'r1',
    responses: ['429 r1', '429 r1', '200 r1'],
    responsesBefore: 1,
  },
  {
    occasion: CopyOccasion.SameRequest,
    status: 503,
    nextId: 'r2',
    responses: ['503 r1', '200 r2'],
    responsesBefore: 1,
  },
  {
    occasion: CopyOccasion.OtherRequest,
    status: 429,
    nextId: 'r2',
    responses: ['429 r1', '429 r1', '200 r2'],
    responsesBefore: 1,
  },
  {
    occasion: CopyOccasion.Idle,
    status: 503,
    nextId: 'r1',
    responses: ['503 r1', '503 r1', '200 r1'],
    responsesBefore: 2,
  },
];

describe('an upstream that repeats refusals', () => {
  for (const {occasion, status, nextId, ...expected} of CASES) {
    it(`${occasion}, then ${nextId}: ${expected.responses.join(', ')}`, async () => {
      const server = new HostedServer({
        id: 'u1',
        service: 'desk',
        zone: 'north',
        version: 'v1',
        slots: 8,
        stepMs: 5,
        eventCount: 6,
      });
      const entry = await server.listen();
      // Refuses the first request only.
      const draws = [0];
      const random = () => draws.pop() ?? 1;
      server.refusalCopier = new RefusalCopier({status, occasion, random});
      const socket = connect(splitAddress(String(entry['address'])));
      let received = '';
      socket.on('data', bytes => {
        received += bytes.toString('latin1');
      });
      const responses = () =>
        [...received.matchAll(/HTTP\/1.1 (\d+)[^]*?X-Request-Id: (\S+)/g)].map(
          ([, responseStatus, id]) => `${responseStatus} ${id}`,
        );
      try {
        sendOrder(socket, 'r1');
        await pause(150);
        expect(responses()).to.have.length(expected.responsesBefore);
        expect(server.runs).to.have.length(0);
        sendOrder(socket, nextId);
        await pause(200);
        expect(responses()).to.deep.equal(expected.responses);
        expect(server.runs.map(({id}) => id)).to.deep.equal([nextId]);
      } finally {
        socket.destroy();
        server.stop();
      }
    });
  }
});
