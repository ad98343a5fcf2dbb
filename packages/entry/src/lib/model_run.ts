/** One run of engine work and the callers that wait for it. */
import type {Reply, ReplyUsage, RefusalCode} from '@citrontrestle/caller';

/** Collects a run's text and passes it to every caller that joined. */
export class ModelRun {
  private readonly pieces: string[] = [];
  private readonly replies: Reply[] = [];
  private readonly cancelled = new AbortController();
  private over: (reply: Reply) => void = () => undefined;
  private ended = false;

  /** Aborted when no caller is left. */
  get signal(): AbortSignal {
    return this.cancelled.signal;
  }

  /** Whether any text arrived. */
  started(): boolean {
    return this.pieces.length > 0;
  }

  /** Adds a caller; it gets what was missed and then what comes. */
  join(reply: Reply, left: AbortSignal): void {
    if (this.ended) {
      this.over(reply);
      return;
    }
    for (const piece of this.pieces) {
      void reply.sendText(piece);
    }
    this.replies.push(reply);
    left.addEventListener('abort', () => {
      this.leave(reply);
    });
  }

  /** Passes a piece of text on; waits for the slowest caller. */
  async text(piece: string): Promise<void> {
    this.pieces.push(piece);
    await Promise.all(this.replies.map(reply => reply.sendText(piece)));
  }

  /** Text so far. */
  content(): string {
    return this.pieces.join('');
  }

  /** Ends the run with the whole answer. */
  finish(usage: ReplyUsage): void {
    const content = this.content();
    this.end(reply => reply.finishChat(content, usage));
  }

  /** Ends the run with a refusal. */
  refuse(code: RefusalCode): void {
    this.end(reply => reply.refuse(code));
  }

  private end(answer: (reply: Reply) => void): void {
    this.ended = true;
    this.over = answer;
    for (const reply of this.replies) {
      if (!reply.callerDisconnected()) {
        answer(reply);
      }
    }
  }

  private leave(reply: Reply): void {
    this.replies.splice(this.replies.indexOf(reply), 1);
    if (this.replies.length === 0 && !this.ended) {
      this.cancelled.abort();
    }
  }
}
