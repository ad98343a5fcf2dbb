/** Stand-in for a server of a service; a case says how it answers. */
import {createServer} from 'node:http';

/** A server that lists itself in the store and records what it runs. */
export class Server {
  runs = [];

  /**
   * @param options `id`, `service`, `zone`, `version` and `slots` of its entry.
   * @param answer called with the request, the response and the run.
   */
  constructor(options, answer, record) {
    Object.assign(this, {options, answer, record});
    this.server = createServer((incoming, outgoing) => {
      const chunks = [];
      incoming.on('data', chunk => chunks.push(chunk));
      incoming.on('end', () => this.handle(incoming, outgoing, chunks));
    });
    this.server.keepAliveTimeout = 20_000;
  }

  async listen(host = '127.0.0.1') {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
    this.born = Date.now();
  }

  /** Returns the entry that the server writes about itself. */
  entry(state = 'ready') {
    const {service, zone, version, slots} = this.options;
    const {address, born} = this;
    return {
      service,
      address,
      zone,
      version,
      slots,
      state,
      coldRemainingMs: 0,
      sequence: 0,
      born,
    };
  }

  /** Key of that entry. */
  key() {
    return `servers/${this.options.id}`;
  }

  /** Ends the server as a process that exits: its connections are closed. */
  exit() {
    this.record(`server ${this.options.id} exits`);
    this.server.close();
    this.server.closeAllConnections();
  }

  handle(incoming, outgoing, chunks) {
    const {id} = this.options;
    const expected = incoming.headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) {
      outgoing.writeHead(421, {'X-Instance-Id': id});
      outgoing.end();
      return;
    }
    const requestId = incoming.headers['x-request-id'];
    const run = {
      requestId,
      server: id,
      at: Date.now(),
      headers: incoming.headers,
      method: incoming.method,
      path: incoming.url,
      body: Buffer.concat(chunks),
    };
    this.runs.push(run);
    this.record(
      `run ${requestId} at ${id} ${run.method} ${run.path} last-event-id ${incoming.headers['last-event-id'] ?? '-'}`,
    );
    outgoing.on('close', () => {
      const end = outgoing.writableFinished ? 'whole' : 'cut';
      this.record(`run ${requestId} at ${id} ended ${end}`);
    });
    this.answer(incoming, outgoing, run);
  }

  /** Headers of each answer of the server. */
  headers({requestId}) {
    return {
      'X-Request-Id': requestId,
      'X-Response-Seal': `seal.${this.options.id}.${requestId}`,
      'X-Server-Load': `1,0,${this.options.slots}`,
    };
  }
}
