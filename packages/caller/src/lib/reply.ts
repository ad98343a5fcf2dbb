/** Responses to callers: complete answers, streams of events, and refusals. */
import {sendJson} from '@citrontrestle/runtime';
import {REFUSAL_RULES} from './refusal.js';
import type {RefusalCode} from './refusal.js';
import type {ServerResponse} from 'node:http';

/** Token usage as it is sent to callers. */
export interface ReplyUsage {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
}

function retryHeaders(code: RefusalCode): Record<string, string> {
  const {retryAfterMs} = REFUSAL_RULES[code];
  if (retryAfterMs === 0) {
    return {};
  }
  return {
    'retry-after': String(Math.ceil(retryAfterMs / 1_000)),
    'retry-after-ms': String(retryAfterMs),
  };
}

function refusalBody(code: RefusalCode): object {
  const {message, run} = REFUSAL_RULES[code];
  return {error: {code, message, run}};
}

/** Writes the response to one request. */
export class Reply {
  /** Whether the headers of an event stream have been sent. */
  private streamStarted = false;

  constructor(
    private readonly outgoing: ServerResponse,
    private readonly id: string,
    private readonly model: string,
    private readonly wantsStream: boolean,
  ) {}

  /** Whether the response headers have been sent. */
  hasStarted(): boolean {
    return this.outgoing.headersSent;
  }

  /** Whether the caller disconnected before the response was complete. */
  callerDisconnected(): boolean {
    return this.outgoing.destroyed && !this.outgoing.writableFinished;
  }

  /** Sends a refusal as the response, or as the last event of a stream. */
  refuse(code: RefusalCode): void {
    if (!this.hasStarted()) {
      sendJson(this.outgoing, REFUSAL_RULES[code].status, refusalBody(code), {
        ...retryHeaders(code),
        'x-request-id': this.id,
      });
      return;
    }
    this.outgoing.end(`data: ${JSON.stringify(refusalBody(code))}\n\n`);
  }

  /**
   * Sends a piece of a streamed answer; does nothing if the caller asked for no
   * stream. The promise, if any, resolves once the caller has read enough.
   */
  sendText(content: string): void | Promise<void> {
    if (!this.wantsStream) {
      return undefined;
    }
    this.startStream();
    const choice = {index: 0, delta: {content}, finish_reason: null};
    if (!this.writeEvent({choices: [choice]})) {
      return this.waitForDrain();
    }
    return undefined;
  }

  /** Sends the complete answer, or ends the stream with the usage. */
  finishChat(content: string, usage: ReplyUsage): void {
    if (!this.wantsStream) {
      const message = {role: 'assistant', content};
      const choices = [{index: 0, message, finish_reason: 'stop'}];
      sendJson(this.outgoing, 200, this.completionObject({choices, usage}));
      return;
    }
    this.startStream();
    const lastChoice = {index: 0, delta: {}, finish_reason: 'stop'};
    this.writeEvent({choices: [lastChoice], usage});
    this.outgoing.end('data: [DONE]\n\n');
  }

  /** Sends the response of a plain service. */
  sendServiceAnswer(
    status: number,
    contentType: string,
    body: string | Buffer,
  ): void {
    const headers = {'content-type': contentType, 'x-request-id': this.id};
    this.outgoing.writeHead(status, headers);
    this.outgoing.end(body);
  }

  private startStream(): void {
    if (this.streamStarted) {
      return;
    }
    this.streamStarted = true;
    this.outgoing.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'x-request-id': this.id,
    });
  }

  /** Adds the fields that all objects of a chat completion share. */
  private completionObject(fields: object): object {
    return {
      id: this.id,
      object: 'chat.completion',
      model: this.model,
      ...fields,
    };
  }

  /** Writes an event; returns false if the caller hasn't read enough yet. */
  private writeEvent(fields: object): boolean {
    const text = JSON.stringify(this.completionObject(fields));
    return this.outgoing.write(`data: ${text}\n\n`);
  }

  /** Resolves when the output buffer is empty or the caller disconnected. */
  private waitForDrain(): Promise<void> {
    return new Promise(resolve => {
      this.outgoing.once('drain', resolve);
      this.outgoing.once('close', resolve);
    });
  }
}
