/**
 * Client for model engines: streamed chat completions over server-sent events.
 * An answer is complete only if each event carries the id of the request, a
 * usage report was received, and the stream ended with `[DONE]`.
 */
import {request} from 'node:http';
import {AttemptOutcome} from '@citrontrestle/decisions';
import {
  discardBody,
  isOwnAnswer,
  RequestAgent,
  splitAddress,
} from '@citrontrestle/runtime';
import {EventReader} from './event_reader.js';
import type {Millis} from '@citrontrestle/decisions';
import type {ConnectionHistory} from '@citrontrestle/runtime';
import type {ClientRequest, IncomingMessage} from 'node:http';

/** One message of a chat conversation. */
export interface ChatMessage {
  role: string;
  content: string;
}

/** A chat completion to run on an engine. */
export interface CompletionRequest {
  /** Address as `ip:port`. */
  address: string;
  /** Request id; each event of the answer must carry it. */
  id: string;
  messages: ChatMessage[];
  /** Maximum number of tokens to generate. */
  maxTokens: number;
  /** The engine runs requests with a higher priority first. */
  priority: number;
  /** Longest time without data from the engine before the run fails. */
  idleTimeout: Millis;
  /** Cancels the run. */
  signal: AbortSignal;
  /** Called for each piece of text; reading waits for its promise, if any. */
  onText(text: string): void | Promise<void>;
}

/** Token counts that the engine reported for a completion. */
export interface TokenUsage {
  promptTokens: number;
  outputTokens: number;
}

/** Result of a completion: the token usage, or why it failed. */
export type CompletionResult =
  | {outcome: AttemptOutcome.Answered; usage: TokenUsage}
  | {outcome: Exclude<AttemptOutcome, AttemptOutcome.Answered>; reason: string};

/** Data of the event that ends a complete answer. */
const END_MARKER = '[DONE]';

/** Client for model engines; keeps connections open between requests. */
export class EngineClient {
  private readonly agent = new RequestAgent();

  /** Sends a completion once, without retries; failures are results. */
  complete(completion: CompletionRequest): Promise<CompletionResult> {
    return new CompletionRun(completion, this.agent).result;
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }
}

/** Thrown when an answer may be that to another request. */
class RequestIdMismatchError extends Error {}

/** One attempt to run a completion; parses its response as it arrives. */
class CompletionRun {
  readonly result: Promise<CompletionResult>;
  private resolve: (result: CompletionResult) => void = () => undefined;
  private readonly outgoing: ClientRequest;
  private readonly eventReader = new EventReader();
  private usage: TokenUsage | undefined;
  /** Whether the engine may have received the request, or a part of it. */
  private mayHaveBeenSent = false;
  /** What the connection had carried before; undefined until there is one. */
  private history: ConnectionHistory | undefined;

  constructor(
    private readonly completion: CompletionRequest,
    private readonly agent: RequestAgent,
  ) {
    this.result = new Promise(resolve => (this.resolve = resolve));
    const {address, id, signal, idleTimeout} = completion;
    this.outgoing = request({
      ...splitAddress(address),
      method: 'POST',
      path: '/v1/chat/completions',
      headers: {'content-type': 'application/json', 'x-request-id': id},
      agent: agent.agentFor(address, id),
      signal,
      timeout: idleTimeout,
    });
    this.attachListeners();
    this.outgoing.end(JSON.stringify(this.requestBody()));
  }

  private requestBody(): object {
    const {messages, maxTokens, priority} = this.completion;
    return {
      messages,
      priority,
      max_tokens: maxTokens,
      stream: true,
      stream_options: {include_usage: true},
    };
  }

  private attachListeners(): void {
    const {outgoing} = this;
    outgoing.on('socket', socket => {
      this.history = this.agent.recordSent(socket, this.completion.id);
      if (socket.connecting) {
        socket.once('connect', () => (this.mayHaveBeenSent = true));
      } else {
        this.mayHaveBeenSent = true;
      }
    });
    outgoing.on('timeout', () => {
      outgoing.destroy(new Error('timeout'));
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      this.handleError(error);
    });
    outgoing.on('response', incoming => {
      this.readResponse(incoming).catch((error: Error) => {
        outgoing.destroy();
        this.handleError(error);
      });
    });
  }

  private handleError(error: NodeJS.ErrnoException): void {
    const {code, message} = error;
    if (this.completion.signal.aborted) {
      this.resolveFailure(AttemptOutcome.Cancelled, 'cancelled');
      return;
    }
    const {Refused, Broken, Mismatched} = AttemptOutcome;
    if (error instanceof RequestIdMismatchError) {
      this.resolveFailure(Mismatched, message);
      return;
    }
    this.resolveFailure(
      this.mayHaveBeenSent ? Broken : Refused,
      code ?? message,
    );
  }

  private resolveFailure(
    outcome: Exclude<AttemptOutcome, AttemptOutcome.Answered>,
    reason: string,
  ): void {
    this.resolve({outcome, reason});
  }

  private async readResponse(incoming: IncomingMessage): Promise<void> {
    if (incoming.statusCode !== 200) {
      this.resolveErrorStatus(incoming);
      return;
    }
    incoming.setEncoding('utf8');
    for await (const chunk of incoming) {
      for (const data of this.eventReader.push(chunk as string)) {
        if (data === END_MARKER) {
          this.resolveSuccess();
          incoming.resume();
          return;
        }
        await this.handleEvent(data);
      }
    }
    throw new Error('the stream ended before [DONE]');
  }

  /** Only after the request's own refusal is the connection kept. */
  private resolveErrorStatus(incoming: IncomingMessage): void {
    const reason = `status ${incoming.statusCode ?? 0}`;
    // Engines send this header only with requests that they did not run.
    const notRun = incoming.headers['x-not-run'];
    const name = incoming.headers['x-request-id'];
    const isUnnamedError = notRun === undefined && name === undefined;
    if (!isUnnamedError && !this.isOwnAnswer(name)) {
      throw new RequestIdMismatchError(
        'the answer may be that to another request',
      );
    }
    if (notRun === undefined) {
      throw new Error(reason);
    }
    discardBody(incoming);
    const {Leaving, Refused} = AttemptOutcome;
    const isLeaving = notRun === 'leaving';
    this.resolveFailure(isLeaving ? Leaving : Refused, reason);
  }

  private isOwnAnswer(name: string | string[] | undefined): boolean {
    const {history, completion} = this;
    return history !== undefined && isOwnAnswer(completion.id, name, history);
  }

  private async handleEvent(data: string): Promise<void> {
    const event = JSON.parse(data) as {
      id?: unknown;
      choices?: {delta?: {content?: unknown}}[];
      usage?: {prompt_tokens: number; completion_tokens: number} | null;
    };
    if (event.id !== this.completion.id) {
      throw new RequestIdMismatchError(
        'the answer carries the id of another request',
      );
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

  private resolveSuccess(): void {
    if (this.usage === undefined) {
      throw new Error('the stream ended without token usage');
    }
    this.resolve({outcome: AttemptOutcome.Answered, usage: this.usage});
  }
}
