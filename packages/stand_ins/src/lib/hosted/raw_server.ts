/**
 * Stand-in for a server whose answers without chunks or with odd ends are written
 * past the HTTP library, at once when the head of a request has come. It reads
 * nothing more of the request.
 */
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import type {Millis} from '@citrontrestle/decisions';

/** How the body of an answer is framed. */
export enum RawFraming {
  /** Only the end of the connection ends the body. */
  None = 'without a length',
  Length = 'with a length',
  Chunks = 'in chunks',
}

/** How an answer ends. */
export enum RawEnding {
  /** Its connection is closed in the ordinary way. */
  Close = 'a close',
  /** Its connection is reset, so that the reset comes with the last bytes. */
  Reset = 'a reset with the last bytes',
  /** Its connection is reset a little later. */
  LateReset = 'a late reset',
  /** The process ends: it listens no longer, and its connections are closed. */
  ProcessEnd = 'the end of its process',
}

/** What a server answers to each request. */
export interface RawAnswer {
  framing: RawFraming;
  ending: RawEnding;
  /** Three digits of the status. */
  status: string;
  mediaType: string;
  /** What of the body is written. */
  body: string;
  /** Length that a body with a length states. */
  statedLength: number;
}

/** Time after the last bytes at which a late reset is sent. */
const LATE_RESET_TIME: Millis = 20;

const HEAD_END = '\r\n\r\n';

/** A server that writes its answers as bytes. */
export class RawServer {
  /** Targets of the requests that it has answered. */
  readonly targets: string[] = [];
  /** Number of connections that it accepted. */
  connectionCount = 0;
  /** Called before each answer, which it may change. */
  onAnswer: () => void = () => undefined;
  private readonly server: Server;

  constructor(
    readonly id: string,
    public answer: RawAnswer,
  ) {
    this.server = createServer({allowHalfOpen: true}, socket => {
      let head = '';
      this.connectionCount += 1;
      socket.on('error', () => undefined);
      socket.on('data', bytes => {
        head += bytes.toString('latin1');
        if (head.includes(HEAD_END)) {
          socket.removeAllListeners('data');
          socket.pause();
          this.writeAnswer(socket, head);
        }
      });
    });
  }

  /** Starts listening on a free port; returns its address as `ip:port`. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Stops listening. */
  stop(): void {
    this.server.close();
  }

  private writeAnswer(socket: Socket, requestHead: string): void {
    const [, target = ''] = requestHead.split(' ');
    const [, requestId = ''] =
      /^x-request-id: (.*)\r$/im.exec(requestHead) ?? [];
    this.targets.push(target);
    this.onAnswer();
    const {status, mediaType, framing, body, ending} = this.answer;
    const head = [
      `HTTP/1.1 ${status} Raw`,
      `X-Request-Id: ${requestId}`,
      `X-Response-Seal: seal-${this.id}`,
      `Content-Type: ${mediaType}`,
      ...FRAMING_LINES[framing](this.answer),
    ].join('\r\n');
    const written =
      framing === RawFraming.Chunks
        ? `${body.length.toString(16)}\r\n${body}\r\n`
        : body;
    socket.write(`${head}${HEAD_END}${written}`, 'latin1', () => {
      ENDING_HANDLERS[ending](socket, this);
    });
  }
}

const FRAMING_LINES: Readonly<
  Record<RawFraming, (answer: RawAnswer) => string[]>
> = {
  [RawFraming.None]: () => [],
  [RawFraming.Length]: ({statedLength}) => [`Content-Length: ${statedLength}`],
  [RawFraming.Chunks]: () => ['Transfer-Encoding: chunked'],
};

const ENDING_HANDLERS: Readonly<
  Record<RawEnding, (socket: Socket, server: RawServer) => void>
> = {
  [RawEnding.Close]: socket => socket.end(),
  [RawEnding.Reset]: socket => socket.resetAndDestroy(),
  [RawEnding.LateReset]: socket => {
    setTimeout(() => socket.resetAndDestroy(), LATE_RESET_TIME);
  },
  [RawEnding.ProcessEnd]: (socket, server) => {
    server.stop();
    socket.end();
  },
};
