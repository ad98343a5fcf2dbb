/** Stand-in for a client: one request on a new channel, by its HTTP framing. */
import {Agent, request} from 'node:http';

/** How the channel ended, as the client sees it. */
export const End = {
  /** The answer is whole by its framing. */
  Complete: 'complete',
  /** The channel broke off; the client knows that the answer isn't whole. */
  Broken: 'broken',
};

/** Sends a request to a machine; resolves when the answer has ended. */
export function send(machine, {method = 'POST', path, headers, body}, record) {
  const result = {
    id: headers['X-Request-Id'],
    status: 0,
    headers: {},
    body: '',
    end: End.Broken,
  };
  const [host, port] = machine.addresses.front.split(':');
  const id = headers['X-Request-Id'];
  record(`send ${id} ${method} ${path} to ${machine.name}`);
  const done = new Promise(resolve => {
    const finish = reason => {
      if (result.endedAt === undefined) {
        result.endedAt = Date.now();
        const framing =
          ['content-length', 'transfer-encoding'].find(
            name => result.headers[name] !== undefined,
          ) ?? 'end of the channel';
        record(
          `answer ${id} status ${result.status} ${result.end} framed by ${framing} ${result.body.length} bytes (${reason})`,
        );
        resolve(result);
      }
    };
    const outgoing = request({host, port, method, path, headers, agent: false});
    outgoing.on('error', error => finish(error.code ?? error.message));
    outgoing.on('response', incoming => {
      result.status = incoming.statusCode;
      result.headers = incoming.headers;
      incoming.on('data', bytes => {
        result.body += bytes.toString('latin1');
        result.onData?.();
      });
      incoming.on('error', error => finish(error.code ?? error.message));
      incoming.on('close', () => {
        result.end = incoming.complete ? End.Complete : End.Broken;
        finish('closed');
      });
    });
    outgoing.end(body);
    result.abandon = () => outgoing.destroy();
  });
  return {result, done};
}

/** A channel that a client keeps open for many requests, one at a time. */
export class KeptChannel {
  agent = new Agent({keepAlive: true, maxSockets: 1});

  constructor(machine, record) {
    Object.assign(this, {machine, record});
  }

  /** Sends a request; resolves when its answer or the channel has ended. */
  async send({path, headers, body}) {
    const [host, port] = this.machine.addresses.front.split(':');
    const id = headers['X-Request-Id'];
    this.record(
      `send ${id} POST ${path} to ${this.machine.name}, kept channel`,
    );
    const result = {id, status: 0, body: '', isClosed: false};
    await new Promise(resolve => {
      const outgoing = request({
        host,
        port,
        method: 'POST',
        path,
        headers,
        agent: this.agent,
      });
      const fail = reason => {
        result.isClosed = true;
        result.reason = reason;
        resolve();
      };
      outgoing.on('error', error => fail(error.code ?? error.message));
      outgoing.on('response', incoming => {
        result.status = incoming.statusCode;
        incoming.on('data', bytes => (result.body += bytes.toString('latin1')));
        incoming.on('error', error => fail(error.code ?? error.message));
        incoming.on('end', resolve);
        incoming.on('close', () =>
          incoming.complete ? resolve() : fail('closed'),
        );
      });
      outgoing.end(body);
    });
    this.record(
      `answer ${id} status ${result.status} ${result.isClosed ? `channel closed (${result.reason})` : 'complete'} ${result.body.length} bytes`,
    );
    return result;
  }
}
