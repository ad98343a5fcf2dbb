/**
 * Stand-in for the hosted platform's servers, which answer plain requests and
 * token streams.
 */
import {createServer} from 'node:http';
import {AnswerCopier} from './answer_copier.js';
import {writeEndedAnswer} from './answer_ender.js';
import {formatAnswer, refusalHeaders} from './raw_answer.js';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Millis} from '@citrontrestle/decisions';
import type {
  AnswerEnder,
  AnswerEnding,
  ResetWithBytes,
} from './answer_ender.js';
import type {RefusalCopier} from './refusal_copier.js';

/** How a server treats the requests that reach it. */
export enum ServerFault {
  /** Serves each request normally. */
  None = 'none',
  /** Rejects each request with 503 without executing it. */
  Full = 'full',
  /** Executes the request, then resets the connection without an answer. */
  LostAnswer = 'lose-answer',
  /** Closes or resets the connection in the middle of the answer. */
  TruncatedAnswer = 'break-off',
  /** Sends an answer with the identifier of another request. */
  WrongRequestId = 'foreign-answer',
  /** Sends a second answer, which was not requested, after the first. */
  ExtraAnswer = 'extra-answer',
  /** Gives whole answers without a length, piece by piece. */
  WithoutLength = 'unframed-whole',
  /** Closes the connection in the middle of an answer without a length. */
  TruncatedWithoutLength = 'unframed',
  /** Closes the connection after the head of an answer without a length. */
  EmptyWithoutLength = 'unframed-empty',
  /** Answers with 500. */
  Failure = 'failure',
  /** Sends bytes that are not an HTTP response. */
  MalformedAnswer = 'garbage',
  /** Rejects each request with 421, as if another server had its address. */
  Replaced = 'replaced',
  /** Executes the request and never answers. */
  Silent = 'silent',
  /** Repeats the refusal of an earlier request before it answers. */
  RepeatedRefusal = 'repeated-refusal',
  /** As `RepeatedRefusal`; the refusal names no request. */
  UnnamedRefusal = 'unnamed-refusal',
  /** Closes the connection in the middle of the head, see `headCut`. */
  CutHead = 'cut-head',
  /** Gives the answer in `errorAnswer`. */
  ErrorAnswer = 'error-answer',
  /** Sends bytes without end until the connection closes, see `endlessPart`. */
  Endless = 'endless',
  /** Writes an odd line into the head of its answer, see `oddHeadLine`. */
  OddHead = 'odd-head',
}

/** A part of an answer that never ends. */
export enum EndlessPart {
  Head = 'head',
  /** Interim answers follow each other. */
  Interim = 'interim',
  /** A body without a length. */
  Body = 'body',
  /** A body in chunks. */
  Chunks = 'chunks',
  ChunkExtension = 'chunk-extension',
  /** One line of an event. */
  EventLine = 'event-line',
  /** One event of many lines. */
  Event = 'event',
  Trailers = 'trailers',
}

/** An answer that a test sets. */
export interface ErrorAnswer {
  status: number;
  headers: Record<string, string>;
  body: string;
}

/** How much of the head of an answer a server writes before it closes. */
export interface HeadCut {
  /** Number of bytes of the final head. */
  bytes: number;
  /** Interim head that it writes before; empty for none. */
  interim: string;
  /** Whether it resets the connection in place of closing it. */
  resets: boolean;
}

/** One request that a server executed. */
export interface ServerRun {
  id: string;
  /** Time when its execution began, in milliseconds since the epoch. */
  startedAt: number;
  method: string;
  path: string;
  /** Body, decoded as Latin-1. */
  body: string;
  headers: IncomingMessage['headers'];
  /**
   * Whether the connection closed before the whole answer was sent. Also true
   * for faults whose answers bypass the HTTP library.
   */
  cancelled: boolean;
  /** Fault that the server applied to it. */
  fault: ServerFault;
  /** How its answer ends, if an `AnswerEnder` decided that. */
  ending?: AnswerEnding;
}

/** Settings of a server. Tests may change them while the server runs. */
export interface HostedServerSettings {
  id: string;
  service: string;
  zone: string;
  /** Version of its software. */
  version: string;
  /** Number of slots that the server reports. */
  slots: number;
  /** Delay before each event of a stream and before a plain answer. */
  stepMs: Millis;
  /** Number of events in a stream. */
  eventCount: number;
  /** Whether the events of a stream name the version of the server. */
  namesVersion?: boolean;
  /** Number of further words in each event; upstreams word them differently. */
  extraWords?: number;
}

/** Treats an executed request as a fault requires. */
type FaultHandler = (
  server: HostedServer,
  outgoing: ServerResponse,
  run: ServerRun,
) => void;

/** Time within which a brittle server counts its rejections. */
const REJECTION_WINDOW: Millis = 1_000;

/** Time for which a server that fell over serves nothing. */
const FALL_TIME: Millis = 3_000;

/** A server in the process of the test, with a fault that the test can set. */
export class HostedServer {
  fault = ServerFault.None;
  /**
   * Requests per second that it takes from all gateways together, which it
   * names in its answers; undefined if it names no limit.
   */
  requestLimit: number | undefined;
  /** Whether it says in each answer that it is shutting down. */
  saysLeaving = false;
  /**
   * Seconds for which it asks to be left alone, in answers that reject a
   * request; undefined if it does not.
   */
  retryAfterSeconds: number | undefined;
  /**
   * Prompt part under which the server crashes when it begins to write an
   * answer; undefined if there is none. The last part of a prompt never counts.
   */
  crashingPart: string | undefined;
  /**
   * Rejections within a second above which the server falls over; undefined if
   * it is not brittle. A brittle server says so in its answers.
   */
  brittleness: number | undefined;
  /** Whether it rejects requests beyond its slots; it queues none then. */
  limitsRoom = false;
  /** Until when it says in each answer that it is cold; 0 if it never does. */
  coldUntil = 0;
  /** Number of times that it fell over. */
  fallCount = 0;
  /** Where it stops with the fault `CutHead`. */
  headCut: HeadCut = {bytes: 0, interim: '', resets: false};
  /** What it answers with the fault `ErrorAnswer`, besides the usual headers. */
  errorAnswer: ErrorAnswer = {status: 500, headers: {}, body: 'failed'};
  /** Where its bytes have no end with the fault `Endless`. */
  endlessPart = EndlessPart.Head;
  /** Line that it writes with the fault `OddHead`, in Latin-1. */
  oddHeadLine = '';
  /** Wrong identifiers of events in Latin-1, by the number of the event. */
  spoiledIds: ReadonlyMap<number, string> = new Map();
  /** Refuses some requests and repeats the refusals; undefined for none. */
  refusalCopier: RefusalCopier | undefined;
  /** Ends some answers in a way of its own; undefined for none. */
  ender: AnswerEnder | undefined;
  /** Resets a connection with its last bytes; a relay does it for its own. */
  resetWithBytes: ResetWithBytes = (socket, bytes) => {
    socket.write(bytes);
    socket.resetAndDestroy();
  };
  /** Called when the server has been killed. */
  onKill: () => void = () => undefined;
  /** Called when the server has crashed. */
  onCrash: () => void = () => undefined;
  /** Requests that it executed. */
  readonly runs: ServerRun[] = [];
  /** Requests that it refused, other than by status 421. */
  readonly refusedRuns: ServerRun[] = [];
  /** Gives answers of which it writes copies, see `AnswerCopier.answer`. */
  readonly copier = new AnswerCopier();
  /** Number of requests received, whether or not they were executed. */
  arrivalCount = 0;
  /** Number of connections that it accepted. */
  connectionCount = 0;
  private readonly server: Server;
  private hasCrashed = false;
  private runningCount = 0;
  /** Until when it refuses everything, having fallen over. */
  private fallenUntil = 0;
  private rejectionTimes: number[] = [];

  constructor(readonly settings: HostedServerSettings) {
    this.server = createServer((incoming, outgoing) => {
      void this.handleRequest(incoming, outgoing);
    });
    this.server.on('connection', () => (this.connectionCount += 1));
  }

  /** Starts listening on a free port; returns its entry for the store. */
  async listen(): Promise<Record<string, unknown>> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.server.address() as AddressInfo;
    return this.createListEntry(`127.0.0.1:${port}`, 'ready');
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Returns the headers that each answer to a request carries. */
  answerHeaders(run: ServerRun): Record<string, string> {
    const {requestLimit} = this;
    return {
      ...this.statementHeaders(),
      ...(requestLimit !== undefined && {'Server-Limit': `${requestLimit}`}),
      'X-Request-Id': run.id,
      'X-Response-Seal': `seal-${this.settings.id}`,
      'X-Server-Load': `1,0,${this.settings.slots}`,
    };
  }

  /** Returns the headers of all answers that say how the server is. */
  private statementHeaders(): Record<string, string> {
    const {brittleness} = this;
    const cold = this.coldUntil - Date.now();
    return {
      ...(cold > 0 && {'X-Cold-Ms': `${cold}`}),
      ...(this.saysLeaving && {'Server-Leaving': '1'}),
      ...(brittleness !== undefined && {'Server-Brittle': `${brittleness}`}),
    };
  }

  /** Returns the entry under which the store lists the server. */
  private createListEntry(
    address: string,
    state: string,
  ): Record<string, unknown> {
    const {service, zone, slots, version} = this.settings;
    const coldRemainingMs = 0;
    return {service, address, zone, slots, state, version, coldRemainingMs};
  }

  private async handleRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    if (Date.now() < this.fallenUntil) {
      outgoing.socket?.resetAndDestroy();
      return;
    }
    const isEarly = this.ender?.isEarly(incoming) === true;
    const body = isEarly ? Buffer.alloc(0) : await readBody(incoming);
    if (body === undefined) {
      return;
    }
    this.arrivalCount += 1;
    const run: ServerRun = {
      id: String(incoming.headers['x-request-id'] ?? ''),
      startedAt: Date.now(),
      method: incoming.method ?? '',
      path: incoming.url ?? '',
      body: body.toString('latin1'),
      headers: incoming.headers,
      cancelled: false,
      fault: this.fault,
    };
    const expectedInstance = incoming.headers['x-expect-instance'];
    const isReplaced = this.fault === ServerFault.Replaced;
    if (
      isReplaced ||
      (expectedInstance && expectedInstance !== this.settings.id)
    ) {
      outgoing.writeHead(421, {'X-Instance-Id': this.settings.id});
      outgoing.end();
      return;
    }
    if (this.fault === ServerFault.Full) {
      this.refusedRuns.push(run);
      const {retryAfterSeconds} = this;
      outgoing.writeHead(503, {
        ...this.statementHeaders(),
        ...(retryAfterSeconds !== undefined && {
          'Retry-After': String(retryAfterSeconds),
        }),
        ...refusalHeaders(run.id),
      });
      outgoing.end();
      return;
    }
    const headers = this.answerHeaders(run);
    const copied = this.copier.answerFor(outgoing, {id: run.id, headers});
    if (copied !== undefined) {
      this.runs.push(...(copied.hasRun ? [run] : []));
      const {status, headers, body} = copied;
      const length = {'Content-Length': Buffer.byteLength(body)};
      setTimeout(() => {
        outgoing.writeHead(status, {...headers, ...length}).end(body);
      }, this.settings.stepMs);
      return;
    }
    if (this.limitsRoom && this.runningCount >= this.settings.slots) {
      this.rejectForWantOfRoom(outgoing, run);
      return;
    }
    const {refusalCopier} = this;
    if (refusalCopier?.tryRefuse(outgoing, run.id, this.statementHeaders())) {
      this.refusedRuns.push(run);
      return;
    }
    this.runs.push(run);
    this.runningCount += 1;
    outgoing.on('close', () => {
      this.runningCount -= 1;
      run.cancelled = !outgoing.writableFinished;
      if (run.cancelled && this.hasCrashed) {
        run.fault = ServerFault.LostAnswer;
      }
    });
    if (this.crashesUnder(run)) {
      setTimeout(() => this.crash(), this.settings.stepMs);
      return;
    }
    if (this.endInOwnWay(outgoing, run, isEarly)) {
      return;
    }
    const wait = refusalCopier?.copyBeforeAnswer(outgoing, run.id) ?? 0;
    if (wait === 0) {
      FAULT_HANDLERS[run.fault](this, outgoing, run);
    } else {
      setTimeout(() => FAULT_HANDLERS[run.fault](this, outgoing, run), wait);
    }
  }

  /** Writes an answer that the `AnswerEnder` ends; false if it leaves it. */
  private endInOwnWay(
    outgoing: ServerResponse,
    run: ServerRun,
    isEarly: boolean,
  ): boolean {
    const pieces = piecesOf(this, run);
    const ending = this.ender?.draw(pieces.length, isEarly);
    const {socket} = outgoing;
    if (ending === undefined || socket === null) {
      return false;
    }
    run.ending = ending;
    const isStream = run.headers['x-token-usage'] !== undefined;
    void writeEndedAnswer(socket, {
      ending,
      headers: {
        ...this.answerHeaders(run),
        ...(isStream && {'Content-Type': 'text/event-stream'}),
      },
      pieces,
      interval: this.settings.stepMs,
      kill: () => this.kill(),
      resetWithBytes: this.resetWithBytes,
    });
    return true;
  }

  /** Ends all connections and takes no more, as if its process were killed. */
  private kill(): void {
    if (this.hasCrashed) {
      return;
    }
    this.hasCrashed = true;
    this.onKill();
    this.stop();
  }

  /** Rejects a request; falls over after too many rejections in a second. */
  private rejectForWantOfRoom(outgoing: ServerResponse, run: ServerRun): void {
    const now = Date.now();
    this.refusedRuns.push(run);
    this.rejectionTimes = this.rejectionTimes.filter(
      time => now - time < REJECTION_WINDOW,
    );
    this.rejectionTimes.push(now);
    outgoing.writeHead(503, {
      ...this.statementHeaders(),
      ...refusalHeaders(run.id),
    });
    outgoing.end();
    if (this.rejectionTimes.length > (this.brittleness ?? Infinity)) {
      this.fallCount += 1;
      this.fallenUntil = now + FALL_TIME;
      this.rejectionTimes = [];
      this.server.closeAllConnections();
    }
  }

  private crashesUnder(run: ServerRun): boolean {
    return (
      this.crashingPart !== undefined &&
      sharedParts(run).includes(this.crashingPart)
    );
  }

  private crash(): void {
    this.hasCrashed = true;
    this.stop();
    this.onCrash();
  }
}

/** Reads a body; returns undefined if its connection ends before the body. */
async function readBody(
  incoming: IncomingMessage,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
  return new Promise(resolve => {
    incoming.on('error', () => resolve(undefined));
    incoming.on('end', () => resolve(Buffer.concat(chunks)));
  });
}

/** Returns the identifiers of the parts of a prompt without the last one. */
export function sharedParts({headers}: Pick<ServerRun, 'headers'>): string[] {
  const entries = String(headers['x-prompt-prefix'] ?? '').split(',');
  return entries.slice(0, -1).map(entry => entry.replace(/:.*$/, ''));
}

/**
 * Sends a stream if the request states its token usage, else a plain answer.
 */
function sendNormalAnswer(
  server: HostedServer,
  outgoing: ServerResponse,
  run: ServerRun,
): void {
  if (run.headers['x-token-usage'] === undefined) {
    setTimeout(() => {
      outgoing.writeHead(200, {
        ...server.answerHeaders(run),
        'Content-Length': 4,
      });
      outgoing.end('done');
    }, server.settings.stepMs);
    return;
  }
  streamEvents(server, outgoing, run, server.settings.eventCount);
}

/**
 * Streams events, starting after the one that the header Last-Event-Id names.
 * If `lastEvent` is less than the number of events, resets the connection in
 * the middle of the event that follows `lastEvent`.
 */
function streamEvents(
  server: HostedServer,
  outgoing: ServerResponse,
  run: ServerRun,
  lastEvent: number,
): void {
  const {eventCount, stepMs} = server.settings;
  const ending = endingOfEvents(server);
  let nextEvent = Number(run.headers['last-event-id'] ?? 0) + 1;
  const timer = setInterval(() => {
    if (outgoing.destroyed) {
      clearInterval(timer);
      return;
    }
    if (!outgoing.headersSent) {
      const contentType = {'Content-Type': 'text/event-stream'};
      outgoing.writeHead(200, {...server.answerHeaders(run), ...contentType});
    }
    if (nextEvent > lastEvent && lastEvent < eventCount) {
      clearInterval(timer);
      outgoing.write(`id: ${nextEvent}\nda`);
      setTimeout(() => outgoing.socket?.resetAndDestroy(), stepMs);
      return;
    }
    // A stream that is taken up after its last event has nothing more.
    if (nextEvent <= eventCount) {
      const id = server.spoiledIds.get(nextEvent) ?? nextEvent;
      const event = `id: ${id}\ndata: token ${nextEvent}${ending}\n\n`;
      outgoing.write(event, 'latin1');
    }
    nextEvent += 1;
    if (nextEvent > eventCount) {
      clearInterval(timer);
      outgoing.end();
    }
  }, stepMs);
}

/** Returns what follows the number of each event of a server. */
function endingOfEvents({settings}: HostedServer): string {
  const {namesVersion, version, extraWords = 0} = settings;
  const origin = namesVersion === true ? ` of ${version}` : '';
  return ' more'.repeat(extraWords) + origin;
}

/** Returns the pieces of the whole answer to a request. */
function piecesOf(server: HostedServer, run: ServerRun): string[] {
  if (run.headers['x-token-usage'] === undefined) {
    return [...'done'];
  }
  const {eventCount} = server.settings;
  const ending = endingOfEvents(server);
  const firstEvent = Number(run.headers['last-event-id'] ?? 0) + 1;
  const count = Math.max(0, eventCount - firstEvent + 1);
  return Array.from({length: count}, (_, index) => {
    const id = firstEvent + index;
    return `id: ${id}\ndata: token ${id}${ending}\n\n`;
  });
}

/** Writes text to the connection directly, past the HTTP library. */
function writeRaw(
  outgoing: ServerResponse,
  text: string,
  closesConnection: boolean,
): void {
  const {socket} = outgoing;
  socket?.write(text);
  if (closesConnection) {
    socket?.end();
  }
}

/**
 * Returns the status line and the headers. Without a length, the end of the
 * connection ends the body.
 */
function formatHead(
  server: HostedServer,
  run: ServerRun,
  length?: number,
): string {
  const headerLines = Object.entries(server.answerHeaders(run)).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  const framingLine =
    length === undefined
      ? 'Connection: close\r\n'
      : `Content-Length: ${length}\r\n`;
  return `HTTP/1.1 200 OK\r\n${headerLines.join('')}${framingLine}\r\n`;
}

/** Writes the refusal of an earlier request, and then the answer. */
function repeatRefusal(
  server: HostedServer,
  outgoing: ServerResponse,
  run: ServerRun,
  headers: Record<string, string>,
): void {
  const refusal = formatAnswer(503, {...headers, 'Server-Leaving': '1'});
  writeRaw(outgoing, refusal, false);
  setTimeout(
    () => writeRaw(outgoing, `${formatHead(server, run, 4)}done`, false),
    server.settings.stepMs,
  );
}

/** Size of the blocks that an endless answer consists of. */
const BLOCK_BYTES = 64 * 1024;

const EVENT_STREAM_LINE = 'Content-Type: text/event-stream\r\n';
const CHUNKED_LINE = 'Transfer-Encoding: chunked\r\n';

/** How answers begin that never end, given their head, and how they go on. */
const ENDLESS_PARTS: Readonly<
  Record<EndlessPart, {beginning(head: string): string; repeated: string}>
> = {
  [EndlessPart.Head]: {beginning: head => head, repeated: 'X-More: 1\r\n'},
  [EndlessPart.Interim]: {
    beginning: () => '',
    repeated: 'HTTP/1.1 102 Processing\r\n\r\n',
  },
  [EndlessPart.Body]: {beginning: head => `${head}\r\n`, repeated: 'x'},
  [EndlessPart.Chunks]: {
    beginning: head => `${head}${CHUNKED_LINE}\r\n`,
    repeated: '8\r\nxxxxxxxx\r\n',
  },
  [EndlessPart.ChunkExtension]: {
    beginning: head => `${head}${CHUNKED_LINE}\r\n8;`,
    repeated: 'x',
  },
  [EndlessPart.EventLine]: {
    beginning: head => `${head}${EVENT_STREAM_LINE}\r\nid: 1\ndata: `,
    repeated: 'x',
  },
  [EndlessPart.Event]: {
    beginning: head => `${head}${EVENT_STREAM_LINE}\r\nid: 1\n`,
    repeated: 'data: x\n',
  },
  [EndlessPart.Trailers]: {
    beginning: head => `${head}${CHUNKED_LINE}\r\n4\r\ndone\r\n0\r\n`,
    repeated: 'X-More: 1\r\n',
  },
};

/** Handlers of executed requests by fault. */
const FAULT_HANDLERS: Readonly<Record<ServerFault, FaultHandler>> = {
  [ServerFault.None]: sendNormalAnswer,
  // A server with one of the next two faults rejects requests beforehand.
  [ServerFault.Full]: sendNormalAnswer,
  [ServerFault.Replaced]: sendNormalAnswer,
  [ServerFault.Silent]: () => undefined,
  [ServerFault.LostAnswer]: (_server, outgoing) => {
    outgoing.socket?.resetAndDestroy();
  },
  [ServerFault.TruncatedAnswer]: (server, outgoing, run) => {
    if (run.headers['x-token-usage'] !== undefined) {
      streamEvents(
        server,
        outgoing,
        run,
        Math.floor(server.settings.eventCount / 2),
      );
    } else {
      writeRaw(outgoing, `${formatHead(server, run, 100)}half`, true);
    }
  },
  [ServerFault.WrongRequestId]: (server, outgoing, run) => {
    writeRaw(
      outgoing,
      `${formatHead(server, {...run, id: 'other'}, 4)}fake`,
      false,
    );
  },
  [ServerFault.ExtraAnswer]: (server, outgoing, run) => {
    const answer = `${formatHead(server, run, 4)}done`;
    writeRaw(outgoing, answer, false);
    setTimeout(() => writeRaw(outgoing, answer, false), server.settings.stepMs);
  },
  [ServerFault.RepeatedRefusal]: (server, outgoing, run) => {
    repeatRefusal(server, outgoing, run, refusalHeaders('earlier'));
  },
  [ServerFault.UnnamedRefusal]: (server, outgoing, run) => {
    if (outgoing.socket?.bytesWritten === 0) {
      // A new connection has no earlier refusal, and an unnamed one is its own.
      sendNormalAnswer(server, outgoing, run);
      return;
    }
    repeatRefusal(server, outgoing, run, {'X-Not-Executed': '1'});
  },
  [ServerFault.CutHead]: (server, outgoing, run) => {
    const {bytes, interim, resets} = server.headCut;
    const written = formatHead(server, run, 4).slice(0, bytes);
    writeRaw(outgoing, `${interim}${written}`, !resets);
    if (resets) {
      setTimeout(() => outgoing.socket?.resetAndDestroy(), 1);
    }
  },
  [ServerFault.Endless]: (server, outgoing, run) => {
    const {beginning, repeated} = ENDLESS_PARTS[server.endlessPart];
    const head = formatHead(server, run).replace(/\r\n$/, '');
    const {socket} = outgoing;
    socket?.write(beginning(head));
    const block = repeated.repeat(Math.ceil(BLOCK_BYTES / repeated.length));
    const writeOn = () => {
      let hasRoom = true;
      while (hasRoom && socket?.destroyed === false) {
        hasRoom = socket.write(block);
      }
    };
    socket?.on('drain', writeOn);
    writeOn();
  },
  [ServerFault.OddHead]: (server, outgoing, run) => {
    const head = formatHead(server, run, 4).replace(
      /\r\n\r\n$/,
      `\r\n${server.oddHeadLine}\r\n\r\n`,
    );
    outgoing.socket?.end(`${head}done`, 'latin1');
  },
  [ServerFault.ErrorAnswer]: (server, outgoing, run) => {
    const {status, headers, body} = server.errorAnswer;
    outgoing.writeHead(status, {...server.answerHeaders(run), ...headers});
    outgoing.end(body);
  },
  [ServerFault.WithoutLength]: (server, outgoing, run) => {
    outgoing.useChunkedEncodingByDefault = false;
    outgoing.shouldKeepAlive = false;
    if (run.headers['x-token-usage'] !== undefined) {
      sendNormalAnswer(server, outgoing, run);
      return;
    }
    const pieces = server.settings.eventCount;
    outgoing.writeHead(200, server.answerHeaders(run));
    let written = 0;
    const timer = setInterval(() => {
      outgoing.write(`piece ${written}\n`);
      written += 1;
      if (written === pieces) {
        clearInterval(timer);
        outgoing.end();
      }
    }, server.settings.stepMs);
  },
  [ServerFault.TruncatedWithoutLength]: (server, outgoing, run) => {
    writeRaw(outgoing, `${formatHead(server, run)}do`, true);
  },
  [ServerFault.EmptyWithoutLength]: (server, outgoing, run) => {
    writeRaw(outgoing, formatHead(server, run), true);
  },
  [ServerFault.Failure]: (server, outgoing, run) => {
    outgoing.writeHead(500, server.answerHeaders(run));
    outgoing.end('failed');
  },
  [ServerFault.MalformedAnswer]: (_server, outgoing) => {
    writeRaw(outgoing, '\u0000\u0001 no answer\r\n\r\n', true);
  },
};
