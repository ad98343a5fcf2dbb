/**
 * Client of model engines: streamed chat completions over server-sent events.
 * An answer is whole only with its identifier, its usage and its end marker.
 */
import {Agent, request} from 'node:http';
import {AttemptOutcome} from '@citrontrestle/decisions';
import {splitAddress} from '@citrontrestle/runtime';
import {EventReader} from './event_reader.js';
import type {Millis} from '@citrontrestle/decisions';
import type {ClientRequest, IncomingMessage} from 'node:http';

/** One message of a chat. */
export interface ChatMessage {
  role: string;
  content: string;
}

/** One completion to run. */
export interface Completion {
  /** Address as `ip:port`. */
  address: string;
  /** Identifier that the answer must carry. */
  id: string;
  messages: ChatMessage[];
  /** Most tokens to generate. */
  maxTokens: number;
  /** Higher goes first at the engine. */
  priority: number;
  /** Longest silence of the engine. */
  silence: Millis;
  signal: AbortSignal;
  /** Called for each piece of text; waits when it returns a promise. */
  onText(text: string): void | Promise<void>;
}

/** Tokens used by a completion. */
export interface Usage {
  promptTokens: number;
  outputTokens: number;
}

/** What became of a completion. */
export type CompletionResult =
  | {outcome: AttemptOutcome.Answered; usage: Usage}
  | {outcome: Exclude<AttemptOutcome, AttemptOutcome.Answered>; reason: string};

const DONE = '[DONE]';

/** Errors raised before a connection stood. */
const UNCONNECTED = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Client of model engines. */
export class EngineClient {
  private readonly agent = new Agent({keepAlive: true, maxSockets: Infinity});

  /** Runs a completion once. */
  complete(completion: Completion): Promise<CompletionResult> {
    return new Run(completion, this.agent).result;
  }

  /** Lets go of kept connections. */
  close(): void {
    this.agent.destroy();
  }
}

/** Raised inside a run when an answer names another request. */
class ForeignAnswer extends Error {}

/** One run of a completion. */
class Run {
  readonly result: Promise<CompletionResult>;
  private resolve: (result: CompletionResult) => void = () => undefined;
  private readonly outgoing: ClientRequest;
  private readonly events = new EventReader();
  private usage: Usage | undefined;
  private sent = false;

  constructor(
    private readonly completion: Completion,
    agent: Agent,
  ) {
    this.result = new Promise(resolve => (this.resolve = resolve));
    const {address, id, signal, silence} = completion;
    this.outgoing = request({
      ...splitAddress(address),
      method: 'POST',
      path: '/v1/chat/completions',
      headers: {'content-type': 'application/json', 'x-request-id': id},
      agent,
      signal,
      timeout: silence,
    });
    this.watch();
    this.outgoing.end(JSON.stringify(this.body()));
  }

  private body(): object {
    const {messages, maxTokens, priority} = this.completion;
    return {
      messages,
      priority,
      max_tokens: maxTokens,
      stream: true,
      stream_options: {include_usage: true},
    };
  }

  private watch(): void {
    const {outgoing} = this;
    outgoing.on('socket', socket => {
      if (socket.connecting) {
        socket.once('connect', () => (this.sent = true));
      } else {
        this.sent = true;
      }
    });
    outgoing.on('timeout', () => {
      outgoing.destroy(new Error('timeout'));
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      this.fail(error);
    });
    outgoing.on('response', incoming => {
      this.read(incoming).catch((error: Error) => {
        outgoing.destroy();
        this.fail(error);
      });
    });
  }

  private fail(error: NodeJS.ErrnoException): void {
    const {code, message} = error;
    if (this.completion.signal.aborted) {
      this.end(AttemptOutcome.Cancelled, 'cancelled');
      return;
    }
    const {Refused, Broken, Foreign} = AttemptOutcome;
    if (error instanceof ForeignAnswer) {
      this.end(Foreign, message);
      return;
    }
    const refused = !this.sent || UNCONNECTED.has(code ?? '');
    this.end(refused ? Refused : Broken, code ?? message);
  }

  private end(
    outcome: Exclude<AttemptOutcome, AttemptOutcome.Answered>,
    reason: string,
  ): void {
    this.resolve({outcome, reason});
  }

  private async read(incoming: IncomingMessage): Promise<void> {
    if (incoming.statusCode !== 200) {
      incoming.resume();
      this.refuse(incoming);
      return;
    }
    incoming.setEncoding('utf8');
    for await (const chunk of incoming) {
      for (const data of this.events.push(chunk as string)) {
        if (data === DONE) {
          this.finish();
          incoming.resume();
          return;
        }
        await this.take(data);
      }
    }
    throw new Error('cut before the end marker');
  }

  private refuse(incoming: IncomingMessage): void {
    const status = incoming.statusCode ?? 0;
    // The engine's protocol: this header is sent only for what did not run.
    const notRun = incoming.headers['x-not-run'];
    if (notRun === 'leaving') {
      this.end(AttemptOutcome.Leaving, 'leaving');
    } else if (notRun !== undefined) {
      this.end(AttemptOutcome.Refused, `status ${status}`);
    } else {
      this.end(AttemptOutcome.Broken, `status ${status}`);
    }
  }

  private async take(data: string): Promise<void> {
    const event = JSON.parse(data) as {
      id?: unknown;
      choices?: {delta?: {content?: unknown}}[];
      usage?: {prompt_tokens: number; completion_tokens: number} | null;
    };
    if (event.id !== this.completion.id) {
      throw new ForeignAnswer('answer to another request');
    }
    if (event.usage) {
      const {prompt_tokens, completion_tokens} = event.usage;
      this.usage = {
        promptTokens: prompt_tokens,
        outputTokens: completion_tokens,
      };
    }
    const text = event.choices?.[0]?.delta?.content;
    if (typeof text === 'string' && text.length > 0) {
      await this.completion.onText(text);
    }
  }

  private finish(): void {
    if (this.usage === undefined) {
      throw new Error('end marker without usage');
    }
    this.resolve({outcome: AttemptOutcome.Answered, usage: this.usage});
  }
}
