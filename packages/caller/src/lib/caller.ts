/**
 * HTTP listener for callers: `POST /v1/chat/completions` for engines, where
 * `model` names the request class, and `/v1/work/CLASS` for plain services.
 */
import {z} from 'zod';
import {
  BodyTooLargeError,
  HttpListener,
  MAX_REQUEST_BYTES,
  randomId,
  readBody,
} from '@citrontrestle/runtime';
import {RefusalCode} from './refusal.js';
import {Reply} from './reply.js';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** Credentials sent with every request. */
export interface Credentials {
  /** API key as the caller sent it; must never be logged. */
  apiKey: string;
  /** Value of the `Idempotency-Key` header, if the caller sent one. */
  idempotencyKey: string | undefined;
}

/** A chat completion request for a model engine. */
export interface ChatRequest extends Credentials {
  /** Id of the request, chosen by the listener. */
  id: string;
  /** Name of the request class. */
  model: string;
  messages: {role: string; content: string}[];
  /** Maximum number of output tokens, if the caller set one. */
  maxTokens: number | undefined;
  /** Aborted when the caller disconnects before the answer is complete. */
  signal: AbortSignal;
}

/** A request for a plain service. */
export interface WorkRequest extends Credentials {
  /** Id of the request, chosen by the listener. */
  id: string;
  /** Name of the request class. */
  className: string;
  method: string;
  /** Query string with its leading question mark, or empty. */
  query: string;
  contentType: string | undefined;
  body: Buffer;
}

/** Processes the requests that the listener has read and validated. */
export interface CallerRequestHandler {
  handleChat(request: ChatRequest, reply: Reply): Promise<void>;
  handleWork(request: WorkRequest, reply: Reply): Promise<void>;
}

/** In characters. */
const MAX_IDEMPOTENCY_KEY_LENGTH = 200;
const CHAT_PATH = '/v1/chat/completions';
const WORK_PATH = '/v1/work/';

const CHAT_SCHEMA = z.object({
  model: z.string(),
  messages: z.array(z.object({role: z.string(), content: z.string()})).min(1),
  max_tokens: z.number().int().positive().optional(),
  stream: z.boolean().optional(),
});

/** HTTP listener for callers; passes valid requests to its handler. */
export class CallerListener {
  private readonly listener = new HttpListener((incoming, outgoing) =>
    this.serve(incoming, outgoing),
  );

  constructor(private readonly handler: CallerRequestHandler) {}

  /** Starts to listen; resolves to the bound address as `ip:port`. */
  listen(host: string, port: number): Promise<string> {
    return this.listener.listen(host, port);
  }

  /** Accepts no new connections; resolves when all requests have ended. */
  drain(): Promise<void> {
    return this.listener.drain();
  }

  /** Closes all connections at once, including those with running requests. */
  stop(): Promise<void> {
    return this.listener.stop();
  }

  private async serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const id = randomId();
    const url = new URL(incoming.url ?? '/', 'http://entry');
    const refuse = (code: RefusalCode) =>
      new Reply(outgoing, id, '', false).refuse(code);
    const isChat = url.pathname === CHAT_PATH && incoming.method === 'POST';
    if (!isChat && !url.pathname.startsWith(WORK_PATH)) {
      refuse(RefusalCode.UnknownPath);
      return;
    }
    const body = await this.readRequestBody(incoming, outgoing, refuse);
    if (body === undefined) {
      return;
    }
    const credentials = readCredentials(incoming);
    if (credentials === undefined) {
      refuse(RefusalCode.Malformed);
    } else if (isChat) {
      await this.serveChat(id, body, credentials, outgoing, refuse);
    } else {
      await this.serveWork(id, url, body, credentials, incoming, outgoing);
    }
  }

  private async readRequestBody(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    refuse: (code: RefusalCode) => void,
  ): Promise<Buffer | undefined> {
    try {
      return await readBody(incoming, MAX_REQUEST_BYTES);
    } catch (error) {
      if (error instanceof BodyTooLargeError) {
        outgoing.setHeader('connection', 'close');
        refuse(RefusalCode.BodyTooLarge);
        incoming.resume();
      }
      return undefined;
    }
  }

  private async serveChat(
    id: string,
    body: Buffer,
    credentials: Credentials,
    outgoing: ServerResponse,
    refuse: (code: RefusalCode) => void,
  ): Promise<void> {
    const parsed = CHAT_SCHEMA.safeParse(parseJson(body));
    if (!parsed.success) {
      refuse(RefusalCode.Malformed);
      return;
    }
    const {model, messages, max_tokens, stream} = parsed.data;
    const disconnected = new AbortController();
    outgoing.on('close', () => {
      if (!outgoing.writableFinished) {
        disconnected.abort();
      }
    });
    const reply = new Reply(outgoing, id, model, stream ?? false);
    const {signal} = disconnected;
    const maxTokens = max_tokens;
    const request = {...credentials, id, model, messages, maxTokens, signal};
    await this.handler.handleChat(request, reply);
  }

  private serveWork(
    id: string,
    url: URL,
    body: Buffer,
    credentials: Credentials,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const className = url.pathname.slice(WORK_PATH.length);
    return this.handler.handleWork(
      {
        ...credentials,
        id,
        className,
        method: incoming.method ?? 'GET',
        query: url.search,
        contentType: incoming.headers['content-type'],
        body,
      },
      new Reply(outgoing, id, className, false),
    );
  }
}

function readCredentials(incoming: IncomingMessage): Credentials | undefined {
  const {authorization} = incoming.headers;
  const idempotencyKey = incoming.headers['idempotency-key'];
  if (
    Array.isArray(idempotencyKey) ||
    (idempotencyKey?.length ?? 0) > MAX_IDEMPOTENCY_KEY_LENGTH ||
    idempotencyKey === ''
  ) {
    return undefined;
  }
  const apiKey = (authorization ?? '').replace(/^Bearer /, '');
  return {apiKey, idempotencyKey};
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
