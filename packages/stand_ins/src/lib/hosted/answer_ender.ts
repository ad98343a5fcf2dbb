/**
 * Lets a server end its answers in every way in which a connection can end:
 * whole or in part, with or without a length, by a close or by a reset.
 */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Millis} from '@citrontrestle/decisions';

/** How an answer tells its length. */
export enum AnswerFraming {
  /** Not at all: the end of the connection ends the body. */
  Unframed = 'unframed',
  Chunked = 'chunked',
  Length = 'length',
}

/** How the connection ends under an answer. */
export enum ConnectionEnd {
  /** Closed by a server that lives on. */
  Close = 'close',
  /** Reset together with the last bytes. */
  ResetWithBytes = 'reset-with-bytes',
  /** Reset a few milliseconds after the last bytes. */
  ResetLater = 'reset-later',
  /** The server's process is killed: all its connections end, it takes no more. */
  Kill = 'kill',
}

/** How a server ends one answer. */
export interface AnswerEnding {
  /** Status as the server writes it, such as `000`. */
  status: string;
  framing: AnswerFraming;
  end: ConnectionEnd;
  /** Pieces that it writes in whole. */
  writtenPieces: number;
  /** Pieces of the whole answer. */
  allPieces: number;
  /** Whether it wrote all of the answer and closed it in the proper way. */
  isWhole: boolean;
  /** Whether it answered before it had read the request's body. */
  isEarly: boolean;
}

/** Resets a server's connection together with the last bytes. */
export type ResetWithBytes = (socket: Socket, bytes: string) => void;

/** Time from the last bytes to a reset that comes later. */
const RESET_DELAY: Millis = 4;

/** Share of the answers that end in a way of their own. */
const ENDED_SHARE = 0.5;

/** Share of these that are whole. */
const WHOLE_SHARE = 0.3;

/** Share of the answers with an invalid status. */
const INVALID_STATUS_SHARE = 0.1;

/** Share of the long requests that are answered before they are read. */
const EARLY_SHARE = 0.5;

/** Length of a body from which on a request counts as long. */
const LONG_BODY_BYTES = 2_000;

/**
 * Statuses that no answer may have, and those that promise that the request has
 * not run, which it has.
 */
const INVALID_STATUSES = [
  '000',
  '099',
  '600',
  '999',
  '408',
  '429',
  '503',
  '503',
];

/** Settings of an `AnswerEnder`. */
export interface AnswerEnderSettings {
  /** Ends that it draws from. */
  ends: readonly ConnectionEnd[];
  /** Returns a random number in [0, 1). */
  random: () => number;
}

/** Draws how the answers of one server end. */
export class AnswerEnder {
  constructor(private readonly settings: AnswerEnderSettings) {}

  /** Whether a request is to be answered before its body has been read. */
  isEarly({headers}: IncomingMessage): boolean {
    const length = Number(headers['content-length'] ?? 0);
    return length >= LONG_BODY_BYTES && this.settings.random() < EARLY_SHARE;
  }

  /** Draws how an answer ends; undefined if it ends as usual. */
  draw(allPieces: number, isEarly: boolean): AnswerEnding | undefined {
    const {random, ends} = this.settings;
    const pick = <T>(items: readonly T[]) =>
      items[Math.floor(random() * items.length)] as T;
    const [share, wholeShare, statusShare] = [random(), random(), random()];
    const framing = pick(Object.values(AnswerFraming));
    const end = pick(ends);
    const writtenPieces = Math.floor(random() * (allPieces + 1));
    const invalidStatus = pick(INVALID_STATUSES);
    if (!isEarly && share >= ENDED_SHARE) {
      return undefined;
    }
    const isWhole = !isEarly && wholeShare < WHOLE_SHARE;
    const hasInvalidStatus = statusShare < INVALID_STATUS_SHARE;
    return {
      status: hasInvalidStatus ? invalidStatus : '200',
      framing: isEarly ? AnswerFraming.Unframed : framing,
      end: isWhole ? ConnectionEnd.Close : end,
      writtenPieces: isWhole ? allPieces : writtenPieces,
      allPieces,
      isWhole,
      isEarly,
    };
  }
}

/** An answer as it is written. */
export interface EndedAnswer {
  ending: AnswerEnding;
  headers: Readonly<Record<string, string>>;
  pieces: readonly string[];
  /** Time between two pieces. */
  interval: Millis;
  /** Kills the server. */
  kill: () => void;
  resetWithBytes: ResetWithBytes;
}

/** Writes an answer piece by piece and ends the connection. */
export async function writeEndedAnswer(
  socket: Socket,
  answer: EndedAnswer,
): Promise<void> {
  const {ending, pieces, interval} = answer;
  const written = pieces.slice(0, ending.writtenPieces);
  const parts = [
    formatHead(answer),
    ...written.map(PIECE_FORMATS[ending.framing]),
  ];
  if (ending.isWhole && ending.framing === AnswerFraming.Chunked) {
    parts.push('0\r\n\r\n');
  }
  const last = parts.pop() ?? '';
  for (const part of parts) {
    socket.write(part);
    await new Promise(resolve => setTimeout(resolve, interval));
  }
  if (!socket.destroyed) {
    END_HANDLERS[ending.end](socket, last, answer);
  }
}

function formatHead({ending, headers, pieces}: EndedAnswer): string {
  const lines = Object.entries({
    ...headers,
    ...FRAMING_HEADERS[ending.framing](pieces),
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${ending.status} Status\r\n${lines.join('')}\r\n`;
}

/** Headers that tell the length of an answer. */
const FRAMING_HEADERS: Readonly<
  Record<AnswerFraming, (pieces: readonly string[]) => Record<string, string>>
> = {
  [AnswerFraming.Unframed]: () => ({Connection: 'close'}),
  [AnswerFraming.Chunked]: () => ({'Transfer-Encoding': 'chunked'}),
  [AnswerFraming.Length]: pieces => ({
    'Content-Length': String(pieces.join('').length),
  }),
};

/** How a piece is written. */
const PIECE_FORMATS: Readonly<
  Record<AnswerFraming, (piece: string) => string>
> = {
  [AnswerFraming.Unframed]: piece => piece,
  [AnswerFraming.Chunked]: piece =>
    `${piece.length.toString(16)}\r\n${piece}\r\n`,
  [AnswerFraming.Length]: piece => piece,
};

/** Writes the last bytes and ends the connection. */
const END_HANDLERS: Readonly<
  Record<
    ConnectionEnd,
    (socket: Socket, lastBytes: string, answer: EndedAnswer) => void
  >
> = {
  [ConnectionEnd.Close]: (socket, lastBytes) => socket.end(lastBytes),
  [ConnectionEnd.ResetWithBytes]: (socket, lastBytes, {resetWithBytes}) =>
    resetWithBytes(socket, lastBytes),
  [ConnectionEnd.ResetLater]: (socket, lastBytes, {resetWithBytes}) => {
    socket.write(lastBytes);
    setTimeout(() => resetWithBytes(socket, ''), RESET_DELAY);
  },
  [ConnectionEnd.Kill]: (socket, lastBytes, {kill}) => {
    socket.write(lastBytes);
    setTimeout(kill, RESET_DELAY);
  },
};
