/** One run of engine work and the callers that wait for it. */
import type {Reply, ReplyUsage, RefusalCode} from '@citrontrestle/caller';

/** Collects a run's text and passes it to every caller that joined. */
export class SharedCompletion {
  private readonly textChunks: string[] = [];
  private readonly replies: Reply[] = [];
  private readonly abortController = new AbortController();
  private sendOutcome: (reply: Reply) => void = () => undefined;
  private hasEnded = false;

  /** Aborted when no caller is left. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Whether any text arrived. */
  hasText(): boolean {
    return this.textChunks.length > 0;
  }

  /** Adds a caller; it gets what was missed and then what comes. */
  addCaller(reply: Reply, callerSignal: AbortSignal): void {
    if (this.hasEnded) {
      this.sendOutcome(reply);
      return;
    }
    for (const chunk of this.textChunks) {
      void reply.sendText(chunk);
    }
    this.replies.push(reply);
    callerSignal.addEventListener('abort', () => {
      this.removeCaller(reply);
    });
  }

  /** Passes a piece of text on; waits for the slowest caller. */
  async appendText(chunk: string): Promise<void> {
    this.textChunks.push(chunk);
    await Promise.all(this.replies.map(reply => reply.sendText(chunk)));
  }

  /** Text so far. */
  text(): string {
    return this.textChunks.join('');
  }

  /** Ends the run with the whole answer. */
  finish(usage: ReplyUsage): void {
    const text = this.text();
    this.end(reply => reply.finishChat(text, usage));
  }

  /** Ends the run with a refusal. */
  refuse(code: RefusalCode): void {
    this.end(reply => reply.refuse(code));
  }

  private end(sendOutcome: (reply: Reply) => void): void {
    this.hasEnded = true;
    this.sendOutcome = sendOutcome;
    for (const reply of this.replies) {
      if (!reply.callerDisconnected()) {
        sendOutcome(reply);
      }
    }
  }

  private removeCaller(reply: Reply): void {
    this.replies.splice(this.replies.indexOf(reply), 1);
    if (this.replies.length === 0 && !this.hasEnded) {
      this.abortController.abort();
    }
  }
}
