/** Answers towards one caller: whole, streamed, or refused. */
import {sendJson} from '@citrontrestle/runtime';
import {REFUSALS} from './refusal.js';
import type {RefusalCode} from './refusal.js';
import type {ServerResponse} from 'node:http';

/** Tokens used, as callers see them. */
export interface ReplyUsage {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
}

function headersOf(code: RefusalCode): Record<string, string> {
  const {retryAfterMs} = REFUSALS[code];
  if (retryAfterMs === 0) {
    return {};
  }
  return {
    'retry-after': String(Math.ceil(retryAfterMs / 1_000)),
    'retry-after-ms': String(retryAfterMs),
  };
}

function bodyOf(code: RefusalCode): object {
  const {message, run} = REFUSALS[code];
  return {error: {code, message, run}};
}

/** Answers one caller. */
export class Reply {
  private streaming = false;

  constructor(
    private readonly outgoing: ServerResponse,
    private readonly id: string,
    private readonly model: string,
    private readonly stream: boolean,
  ) {}

  /** Whether the caller got a first byte. */
  started(): boolean {
    return this.outgoing.headersSent;
  }

  /** Whether the caller has left. */
  gone(): boolean {
    return this.outgoing.destroyed && !this.outgoing.writableFinished;
  }

  /** Sends a refusal, as an answer or as the last event of a stream. */
  refuse(code: RefusalCode): void {
    if (!this.started()) {
      sendJson(this.outgoing, REFUSALS[code].status, bodyOf(code), {
        ...headersOf(code),
        'x-request-id': this.id,
      });
      return;
    }
    this.outgoing.end(`data: ${JSON.stringify(bodyOf(code))}\n\n`);
  }

  /** Sends a piece of a streamed answer; waits while the caller is slow. */
  text(content: string): void | Promise<void> {
    if (!this.stream) {
      return undefined;
    }
    this.open();
    const delta = {index: 0, delta: {content}, finish_reason: null};
    if (!this.event({choices: [delta]})) {
      return this.drained();
    }
    return undefined;
  }

  /** Ends a whole answer. */
  finish(content: string, usage: ReplyUsage): void {
    if (!this.stream) {
      const message = {role: 'assistant', content};
      const choices = [{index: 0, message, finish_reason: 'stop'}];
      sendJson(this.outgoing, 200, this.frame({choices, usage}));
      return;
    }
    this.open();
    const end = {index: 0, delta: {}, finish_reason: 'stop'};
    this.event({choices: [end], usage});
    this.outgoing.end('data: [DONE]\n\n');
  }

  /** Sends a whole answer of a plain service. */
  whole(status: number, contentType: string, body: string | Buffer): void {
    const headers = {'content-type': contentType, 'x-request-id': this.id};
    this.outgoing.writeHead(status, headers);
    this.outgoing.end(body);
  }

  private open(): void {
    if (this.streaming) {
      return;
    }
    this.streaming = true;
    this.outgoing.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'x-request-id': this.id,
    });
  }

  private frame(fields: object): object {
    return {
      id: this.id,
      object: 'chat.completion',
      model: this.model,
      ...fields,
    };
  }

  private event(fields: object): boolean {
    const text = JSON.stringify(this.frame(fields));
    return this.outgoing.write(`data: ${text}\n\n`);
  }

  private drained(): Promise<void> {
    return new Promise(resolve => {
      this.outgoing.once('drain', resolve);
      this.outgoing.once('close', resolve);
    });
  }
}
