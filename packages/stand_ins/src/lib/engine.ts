/**
 * Stand-in for a model engine. It simulates continuous batching with a bounded
 * batch, token generation that slows down as the batch fills, and a small cache
 * of prompt prefixes.
 */
import {sendJson} from '@citrontrestle/runtime';
import {findMarker} from './run_recorder.js';
import {UpstreamStandIn} from './upstream.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';
import type {RunRecord, RunRecorder} from './run_recorder.js';

/** Batch size and speed of an engine. */
export interface EngineSpeed {
  /** Maximum number of requests in a batch. */
  slots: number;
  /** Time to process one prompt token that is not in the cache. */
  prefillMs: Millis;
  /**
   * Time to generate one token of each request if the batch were empty. It
   * rises linearly with the requests in the batch, to twice as much in a full
   * batch.
   */
  tokenMs: Millis;
  /** Maximum number of tokens in one event of the stream. */
  tokensPerEvent: number;
}

/**
 * Default speed, sized for trial runs; the scenarios of the load tool have the
 * same defaults.
 */
export const DEFAULT_ENGINE_SPEED: EngineSpeed = {
  slots: 8,
  prefillMs: 0.05,
  tokenMs: 2,
  tokensPerEvent: 8,
};

const CHARACTERS_PER_TOKEN = 4;

/** Maximum size of the cache, which evicts the least recently used prefix. */
const MAX_CACHED_PREFIXES = 32;

/** Length of the part of a prompt that the cache uses as its key. */
const PREFIX_CHARACTERS = 256;

/** A request that waits for a slot. */
interface QueuedRequest {
  /** Requests with a higher number start first. */
  priority: number;
  /** Starts the request in a slot that was released. */
  start(): void;
}

/** The fields of a request body that the engine uses. */
interface EngineRequest {
  /** Their contents, joined by line breaks, are the prompt. */
  messages: {content: string}[];
  /** Maximum number of output tokens. */
  max_tokens: number;
  priority?: number;
}

/** Returns the number of tokens in a text, estimated from its length. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/** Stand-in for a model engine; answers with a stream of server-sent events. */
export class EngineStandIn extends UpstreamStandIn {
  private readonly queue: QueuedRequest[] = [];
  private readonly cachedPrefixes = new Map<string, true>();

  constructor(
    id: string,
    runRecorder: RunRecorder,
    private readonly speed: EngineSpeed = DEFAULT_ENGINE_SPEED,
  ) {
    super(id, speed.slots, runRecorder);
  }

  protected override waitingCount(): number {
    return this.queue.length;
  }

  protected override async executeRequest(
    _incoming: IncomingMessage,
    outgoing: ServerResponse,
    body: Buffer,
    requestId: string,
  ): Promise<void> {
    const text = body.toString('utf8');
    const request = JSON.parse(text) as EngineRequest;
    if (!Array.isArray(request.messages)) {
      const headers = {'x-request-id': requestId};
      sendJson(outgoing, 400, {error: 'messages missing'}, headers);
      return;
    }
    await this.acquireSlot(request.priority ?? 0);
    try {
      const runRecord = this.runRecorder.recordStart(
        this.id,
        requestId,
        findMarker(text),
      );
      await this.generate(outgoing, request, requestId, runRecord);
    } finally {
      this.releaseSlot();
    }
  }

  /** Resolves when a slot is free, in the order of priority. */
  private acquireSlot(priority: number): Promise<void> {
    if (this.running < this.slots) {
      this.running += 1;
      return Promise.resolve();
    }
    return new Promise(resolve => {
      this.queue.push({priority, start: resolve});
      this.queue.sort((a, b) => b.priority - a.priority);
    });
  }

  /** Passes a slot to the next request in the queue, or frees it. */
  private releaseSlot(): void {
    const next = this.queue.shift();
    if (next === undefined) {
      this.running -= 1;
    } else {
      next.start();
    }
  }

  /** Streams the answer to a request. */
  private async generate(
    outgoing: ServerResponse,
    request: EngineRequest,
    requestId: string,
    runRecord: RunRecord,
  ): Promise<void> {
    const prompt = request.messages.map(message => message.content).join('\n');
    const promptTokens = countTokens(prompt);
    runRecord.tokens = promptTokens;
    await this.pause(this.prefillTime(prompt, promptTokens));
    if (this.consumeFault('late')) {
      await this.pause(this.faults.lateMs);
    }
    const answerId = this.consumeFault('wrongIds')
      ? 'somebody-else'
      : requestId;
    const isCut = this.consumeFault('cuts');
    const outputCount = countOutputTokens(prompt, request.max_tokens);
    outgoing.writeHead(200, {'content-type': 'text/event-stream'});
    outgoing.flushHeaders();
    for (
      let writtenCount = 0;
      writtenCount < outputCount;
      writtenCount += this.speed.tokensPerEvent
    ) {
      if (outgoing.destroyed) {
        return;
      }
      const count = Math.min(
        this.speed.tokensPerEvent,
        outputCount - writtenCount,
      );
      await this.pause(this.timePerToken() * count);
      runRecord.tokens += count;
      writeEvent(
        outgoing,
        createContentEvent(
          answerId,
          `${formatContent(prompt, writtenCount, count)} `,
        ),
      );
      if (isCut && writtenCount > 0) {
        outgoing.destroy();
        return;
      }
    }
    const usage = {prompt_tokens: promptTokens, completion_tokens: outputCount};
    writeEvent(outgoing, {id: answerId, choices: [], usage});
    outgoing.end('data: [DONE]\n\n');
    runRecord.whole = true;
  }

  /**
   * Returns the time to generate one token at the current size of the batch.
   */
  private timePerToken(): Millis {
    return this.speed.tokenMs * (1 + this.running / this.slots);
  }

  /** Returns the time to process a prompt, and adds its prefix to the cache. */
  private prefillTime(prompt: string, tokens: number): Millis {
    const prefix = prompt.slice(0, PREFIX_CHARACTERS);
    const cachedTokens = this.cachedPrefixes.delete(prefix)
      ? countTokens(prefix)
      : 0;
    this.cachedPrefixes.set(prefix, true);
    if (this.cachedPrefixes.size > MAX_CACHED_PREFIXES) {
      const [oldest] = this.cachedPrefixes.keys();
      this.cachedPrefixes.delete(oldest ?? '');
    }
    return (tokens - cachedTokens) * this.speed.prefillMs;
  }
}

/**
 * Returns the number of output tokens: N if the prompt contains "words:N", but
 * at most `maxTokens`, which also applies without such a text.
 */
function countOutputTokens(prompt: string, maxTokens: number): number {
  const requestedCount = /words:(\d+)/.exec(prompt)?.[1];
  return Math.min(
    maxTokens,
    requestedCount === undefined ? maxTokens : Number(requestedCount),
  );
}

/**
 * Returns output that contains the marker of its request, so that a caller can
 * detect the answer to another request.
 */
function formatContent(prompt: string, offset: number, count: number): string {
  const marker = findMarker(prompt) || 'answer';
  return `${marker}[${offset}+${count}]`;
}

function createContentEvent(id: string, content: string): object {
  return {id, choices: [{index: 0, delta: {content}}]};
}

function writeEvent(outgoing: ServerResponse, event: object): void {
  outgoing.write(`data: ${JSON.stringify(event)}\n\n`);
}
