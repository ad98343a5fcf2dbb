/**
 * Stand-in of a model engine: continuous batching with a bounded batch, a
 * pace that falls as the batch fills, and a small cache of prompt prefixes.
 */
import {sendJson} from '@citrontrestle/runtime';
import {markerOf} from './truth.js';
import {UpstreamStandIn} from './upstream.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';
import type {RunRecord, Truth} from './truth.js';

/** Speed of an engine. */
export interface EngineSpeed {
  /** Requests in a batch. */
  slots: number;
  /** Time to read one prompt token that is not cached. */
  prefillMs: Millis;
  /** Time for one token of each request in an otherwise empty batch. */
  tokenMs: Millis;
  /** Tokens written in one event. */
  tokensPerEvent: number;
}

/** An engine of the trial's size. */
export const TRIAL_SPEED: EngineSpeed = {
  slots: 8,
  prefillMs: 0.05,
  tokenMs: 2,
  tokensPerEvent: 8,
};

/** Characters of one token. */
const TOKEN_CHARACTERS = 4;

/** Prefixes kept, least recently used dropped first. */
const CACHED_PREFIXES = 32;

/** Characters of a prompt that count as its prefix. */
const PREFIX_CHARACTERS = 256;

interface Waiting {
  priority: number;
  start(): void;
}

interface EngineRequest {
  messages: {content: string}[];
  max_tokens: number;
  priority?: number;
}

/** Tokens of a text, as the engine counts them. */
export function tokensOf(text: string): number {
  return Math.ceil(text.length / TOKEN_CHARACTERS);
}

/** Stand-in of a model engine. */
export class EngineStandIn extends UpstreamStandIn {
  private readonly queue: Waiting[] = [];
  private readonly prefixes = new Map<string, true>();

  constructor(
    id: string,
    truth: Truth,
    private readonly speed: EngineSpeed = TRIAL_SPEED,
  ) {
    super(id, speed.slots, truth);
  }

  protected override waiting(): number {
    return this.queue.length;
  }

  protected override async run(
    _incoming: IncomingMessage,
    outgoing: ServerResponse,
    body: Buffer,
    id: string,
  ): Promise<void> {
    const text = body.toString('utf8');
    const request = JSON.parse(text) as EngineRequest;
    if (!Array.isArray(request.messages)) {
      sendJson(outgoing, 400, {error: 'messages missing'});
      return;
    }
    await this.enter(request.priority ?? 0);
    try {
      const run = this.truth.begin(this.id, id, markerOf(text));
      await this.generate(outgoing, request, id, run);
    } finally {
      this.leave();
    }
  }

  private enter(priority: number): Promise<void> {
    if (this.running < this.slots) {
      this.running += 1;
      return Promise.resolve();
    }
    return new Promise(resolve => {
      this.queue.push({priority, start: resolve});
      this.queue.sort((a, b) => b.priority - a.priority);
    });
  }

  private leave(): void {
    const next = this.queue.shift();
    if (next === undefined) {
      this.running -= 1;
    } else {
      next.start();
    }
  }

  private async generate(
    outgoing: ServerResponse,
    request: EngineRequest,
    id: string,
    run: RunRecord,
  ): Promise<void> {
    const prompt = request.messages.map(one => one.content).join('\n');
    const promptTokens = tokensOf(prompt);
    run.tokens = promptTokens;
    await this.pause(this.prefill(prompt, promptTokens));
    if (this.spend('late')) {
      await this.pause(this.faults.lateMs);
    }
    const shown = this.spend('wrongIds') ? 'somebody-else' : id;
    const cut = this.spend('cuts');
    const output = outputTokens(prompt, request.max_tokens);
    outgoing.writeHead(200, {'content-type': 'text/event-stream'});
    outgoing.flushHeaders();
    for (let made = 0; made < output; made += this.speed.tokensPerEvent) {
      if (outgoing.destroyed) {
        return;
      }
      const count = Math.min(this.speed.tokensPerEvent, output - made);
      await this.pause(this.pace() * count);
      run.tokens += count;
      write(outgoing, event(shown, `${words(prompt, made, count)} `));
      if (cut && made > 0) {
        outgoing.destroy();
        return;
      }
    }
    const usage = {prompt_tokens: promptTokens, completion_tokens: output};
    write(outgoing, {id: shown, choices: [], usage});
    outgoing.end('data: [DONE]\n\n');
    run.whole = true;
  }

  private pace(): Millis {
    return this.speed.tokenMs * (1 + this.running / this.slots);
  }

  private prefill(prompt: string, tokens: number): Millis {
    const prefix = prompt.slice(0, PREFIX_CHARACTERS);
    const cached = this.prefixes.delete(prefix) ? tokensOf(prefix) : 0;
    this.prefixes.set(prefix, true);
    if (this.prefixes.size > CACHED_PREFIXES) {
      const [oldest] = this.prefixes.keys();
      this.prefixes.delete(oldest ?? '');
    }
    return (tokens - cached) * this.speed.prefillMs;
  }
}

/** Output length: told by "words:N" in the prompt, else the most allowed. */
function outputTokens(prompt: string, most: number): number {
  const told = /words:(\d+)/.exec(prompt)?.[1];
  return Math.min(most, told === undefined ? most : Number(told));
}

/** Text that names its request, so that a foreign answer shows. */
function words(prompt: string, made: number, count: number): string {
  const marker = markerOf(prompt) || 'answer';
  return `${marker}[${made}+${count}]`;
}

function event(id: string, content: string): object {
  return {id, choices: [{index: 0, delta: {content}}]};
}

function write(outgoing: ServerResponse, value: object): void {
  outgoing.write(`data: ${JSON.stringify(value)}\n\n`);
}
