/**
 * The listener towards callers: `POST /v1/chat/completions` for engines, where
 * `model` names the class, and `/v1/work/CLASS` for plain services.
 */
import {z} from 'zod';
import {
  BodyTooLarge,
  Listener,
  MOST_REQUEST_BYTES,
  randomId,
  readBody,
} from '@citrontrestle/runtime';
import {RefusalCode} from './refusal.js';
import {Reply} from './reply.js';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** What every request carries. */
export interface Credentials {
  /** API key as sent; never logged. */
  apiKey: string;
  /** Idempotency key, when the caller sent one. */
  key: string | undefined;
}

/** A request for engine work. */
export interface ChatRequest extends Credentials {
  id: string;
  /** Name of the class. */
  model: string;
  messages: {role: string; content: string}[];
  /** Most output tokens that the caller wants. */
  maxTokens: number | undefined;
  /** Aborted when the caller leaves. */
  signal: AbortSignal;
}

/** A request for a plain service. */
export interface WorkRequest extends Credentials {
  id: string;
  /** Name of the class. */
  name: string;
  method: string;
  /** Query with its leading question mark, or empty. */
  query: string;
  contentType: string | undefined;
  body: Buffer;
}

/** Serves requests. */
export interface Desk {
  chat(request: ChatRequest, reply: Reply): Promise<void>;
  work(request: WorkRequest, reply: Reply): Promise<void>;
}

const MOST_KEY = 200;
const CHAT_PATH = '/v1/chat/completions';
const WORK_PATH = '/v1/work/';

const CHAT_SCHEMA = z.object({
  model: z.string(),
  messages: z.array(z.object({role: z.string(), content: z.string()})).min(1),
  max_tokens: z.number().int().positive().optional(),
  stream: z.boolean().optional(),
});

/** The listener towards callers. */
export class CallerListener {
  private readonly listener = new Listener((incoming, outgoing) =>
    this.serve(incoming, outgoing),
  );

  constructor(private readonly desk: Desk) {}

  /** Starts to listen; returns the address. */
  listen(host: string, port: number): Promise<string> {
    return this.listener.listen(host, port);
  }

  /** Takes no new connection and waits for requests that run. */
  drain(): Promise<void> {
    return this.listener.drain();
  }

  /** Ends at once. */
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
    const chat = url.pathname === CHAT_PATH && incoming.method === 'POST';
    if (!chat && !url.pathname.startsWith(WORK_PATH)) {
      refuse(RefusalCode.UnknownPath);
      return;
    }
    const body = await this.body(incoming, outgoing, refuse);
    if (body === undefined) {
      return;
    }
    const credentials = credentialsOf(incoming);
    if (credentials === undefined) {
      refuse(RefusalCode.Malformed);
    } else if (chat) {
      await this.chat(id, body, credentials, outgoing, refuse);
    } else {
      await this.work(id, url, body, credentials, incoming, outgoing);
    }
  }

  private async body(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    refuse: (code: RefusalCode) => void,
  ): Promise<Buffer | undefined> {
    try {
      return await readBody(incoming, MOST_REQUEST_BYTES);
    } catch (error) {
      if (error instanceof BodyTooLarge) {
        outgoing.setHeader('connection', 'close');
        refuse(RefusalCode.BodyTooLarge);
        incoming.resume();
      }
      return undefined;
    }
  }

  private async chat(
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
    const left = new AbortController();
    outgoing.on('close', () => {
      if (!outgoing.writableFinished) {
        left.abort();
      }
    });
    const reply = new Reply(outgoing, id, model, stream ?? false);
    const {signal} = left;
    const maxTokens = max_tokens;
    const request = {...credentials, id, model, messages, maxTokens, signal};
    await this.desk.chat(request, reply);
  }

  private work(
    id: string,
    url: URL,
    body: Buffer,
    credentials: Credentials,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const name = url.pathname.slice(WORK_PATH.length);
    return this.desk.work(
      {
        ...credentials,
        id,
        name,
        method: incoming.method ?? 'GET',
        query: url.search,
        contentType: incoming.headers['content-type'],
        body,
      },
      new Reply(outgoing, id, name, false),
    );
  }
}

function credentialsOf(incoming: IncomingMessage): Credentials | undefined {
  const {authorization} = incoming.headers;
  const key = incoming.headers['idempotency-key'];
  if (Array.isArray(key) || (key?.length ?? 0) > MOST_KEY || key === '') {
    return undefined;
  }
  const apiKey = (authorization ?? '').replace(/^Bearer /, '');
  return {apiKey, key};
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
