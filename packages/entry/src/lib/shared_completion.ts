/** One chat completion and the callers that receive it. */
import type {Reply, ReplyUsage, RefusalCode} from '@citrontrestle/caller';

/**
 * Collects the text of a chat completion and sends it to all its callers.
 * Callers that send the same request at the same time share one completion.
 */
export class SharedCompletion {
  private readonly textChunks: string[] = [];
  private readonly replies: Reply[] = [];
  private readonly abortController = new AbortController();
  /** Sends the final result; has no effect until the completion has ended. */
  private sendOutcome: (reply: Reply) => void = () => undefined;
  private hasEnded = false;

  /** Aborted when all callers have disconnected before the end. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Whether any text has arrived. */
  hasText(): boolean {
    return this.textChunks.length > 0;
  }

  /**
   * Adds a caller, which is sent the text so far and then what follows, or the
   * final result if the completion has ended.
   * @param callerSignal aborted when the caller disconnects.
   */
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

  /** Sends a chunk to all callers; resolves when the slowest can take more. */
  async appendText(chunk: string): Promise<void> {
    this.textChunks.push(chunk);
    await Promise.all(this.replies.map(reply => reply.sendText(chunk)));
  }

  /** Returns the text so far. */
  text(): string {
    return this.textChunks.join('');
  }

  /** Ends the completion successfully. */
  finish(usage: ReplyUsage): void {
    const text = this.text();
    this.end(reply => reply.finishChat(text, usage));
  }

  /** Ends the completion with a refusal. */
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
