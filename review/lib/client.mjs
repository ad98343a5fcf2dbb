/** Stand-in for a client: one request on a new channel, by its HTTP framing. */
import {request} from 'node:http';

/** How the channel ended, as the client sees it. */
export const End = {
  /** The answer is whole by its framing. */
  Complete: 'complete',
  /** The channel broke off; the client knows that the answer isn't whole. */
  Broken: 'broken',
};

/** Sends a request to a machine; resolves when the answer has ended. */
export function send(machine, {method = 'POST', path, headers, body}, record) {
  const result = {status: 0, headers: {}, body: '', end: End.Broken};
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
