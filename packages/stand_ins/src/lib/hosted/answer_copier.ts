/**
 * Lets a server answer a request without regard to its content and write this
 * answer once more on the same connection, while a request with the same
 * identifier is under way on it again.
 */
import {formatAnswer} from './raw_answer.js';
import type {Millis} from '@citrontrestle/decisions';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** An answer of which a server writes copies. */
export interface CopiedAnswer {
  status: number;
  /** Headers besides the usual ones. */
  headers: Record<string, string>;
  body: string;
  /** Whether a request that gets it has run. */
  hasRun: boolean;
  /**
   * Time from the beginning of a run until the copy is written; undefined if
   * only `AnswerCopier.writeCopies` writes it.
   */
  copyDelay: Millis | undefined;
  /**
   * Whether a request gets it, of whose identifier the connection has carried
   * none, given how many with that identifier got it before.
   */
  applies(earlierAnswers: number): boolean;
}

/** What a copier knows of a request. */
interface CopiedRequest {
  id: string;
  /** The usual headers of answers to it. */
  headers: Record<string, string>;
}

/** The copies of answers of one server. */
export class AnswerCopier {
  /** The answer to give; undefined for none. */
  answer: CopiedAnswer | undefined;
  /** Number of copies written while the request was under way again. */
  copyCount = 0;
  /** Number of times that each identifier got the answer. */
  private readonly answerCounts = new Map<string, number>();
  /** Copies by connection and identifier. */
  private readonly copies = new Map<Socket, Map<string, string>>();

  /**
   * Returns the answer for a request; undefined if the server is to run it. Then
   * a copy comes before the answer of the run, if the connection has one.
   */
  answerFor(
    outgoing: ServerResponse,
    {id, headers: usualHeaders}: CopiedRequest,
  ): CopiedAnswer | undefined {
    const {answer} = this;
    const {socket} = outgoing;
    if (answer === undefined || socket === null) {
      return undefined;
    }
    const copy = this.copies.get(socket)?.get(id);
    const count = this.answerCounts.get(id) ?? 0;
    if (copy !== undefined) {
      this.copyLater(outgoing, copy, answer.copyDelay);
      return undefined;
    }
    if (!answer.applies(count)) {
      return undefined;
    }
    this.answerCounts.set(id, count + 1);
    const {status, body} = answer;
    const headers = {...usualHeaders, ...answer.headers};
    const copies = this.copies.get(socket) ?? new Map<string, string>();
    copies.set(id, formatAnswer(status, headers, body));
    this.copies.set(socket, copies);
    return {...answer, headers};
  }

  /** Writes the copies on all connections now. */
  writeCopies(): void {
    for (const [socket, copies] of this.copies) {
      copies.forEach(copy => socket.write(copy));
    }
  }

  private copyLater(
    {socket}: ServerResponse,
    copy: string,
    delay: Millis | undefined,
  ): void {
    if (delay !== undefined) {
      this.copyCount += 1;
      setTimeout(() => socket?.write(copy), delay);
    }
  }
}
