/** A caller: sends one request and reads its whole answer. */
import {Agent, request} from 'node:http';
import {readBody, splitAddress} from '@citrontrestle/runtime';
import {EventReader} from '@citrontrestle/engine';
import type {IncomingMessage} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';

/** One request as it is sent. */
export interface Call {
  method: string;
  path: string;
  apiKey: string;
  key: string;
  body: string | undefined;
  timeout: Millis;
}

/** How a call ended, as its caller saw it. */
export enum Seen {
  Answered = 'answered',
  Refused = 'refused',
  /** No final answer: the connection failed or was cut. */
  Failed = 'failed',
}

/** What a caller saw. */
export interface Sight {
  seen: Seen;
  status: number;
  /** Code of a refusal. */
  code: string;
  /** What the refusal says of the run. */
  run: string;
  content: string;
  /** Tokens that the answer says were used. */
  tokens: number;
  /** When the first text arrived; undefined if none did. */
  firstAt: Millis | undefined;
  /** Whether anything of an answer arrived. */
  begun: boolean;
  retryAfter: boolean;
}

interface StreamEvent {
  error?: {code: string; run: string};
  choices?: {delta?: {content?: string}}[];
  usage?: {total_tokens: number};
}

const MOST_ANSWER_BYTES = 4 * 1024 * 1024;

/** Sends requests to entries. */
export class Client {
  private readonly agent = new Agent({keepAlive: true, maxSockets: Infinity});

  /** Lets go of kept connections. */
  close(): void {
    this.agent.destroy();
  }

  /** Sends one request. */
  send(address: string, call: Call): Promise<Sight> {
    return new Promise(resolve => {
      const sight = newSight();
      const headers = {
        authorization: `Bearer ${call.apiKey}`,
        'content-type': 'application/json',
        'idempotency-key': call.key,
      };
      const outgoing = request({
        ...splitAddress(address),
        method: call.method,
        path: call.path,
        headers,
        agent: this.agent,
        timeout: call.timeout,
      });
      outgoing.on('timeout', () => outgoing.destroy(new Error('timeout')));
      outgoing.on('error', () => resolve(sight));
      outgoing.on('response', incoming => {
        void readAnswer(incoming, sight).then(
          () => resolve(sight),
          () => resolve({...sight, seen: Seen.Failed}),
        );
      });
      outgoing.end(call.body);
    });
  }
}

function newSight(): Sight {
  return {
    seen: Seen.Failed,
    status: 0,
    code: '',
    run: '',
    content: '',
    tokens: 0,
    firstAt: undefined,
    begun: false,
    retryAfter: false,
  };
}

async function readAnswer(
  incoming: IncomingMessage,
  sight: Sight,
): Promise<void> {
  sight.status = incoming.statusCode ?? 0;
  sight.retryAfter = incoming.headers['retry-after'] !== undefined;
  const type = incoming.headers['content-type'] ?? '';
  if (type.startsWith('text/event-stream')) {
    await readStream(incoming, sight);
    return;
  }
  const body = await readBody(incoming, MOST_ANSWER_BYTES);
  sight.firstAt = Date.now();
  if (sight.status === 200) {
    sight.seen = Seen.Answered;
    sight.content = body.toString('utf8');
    return;
  }
  sight.seen = Seen.Refused;
  const {error} = JSON.parse(body.toString('utf8')) as StreamEvent;
  sight.code = error?.code ?? '';
  sight.run = error?.run ?? '';
}

async function readStream(
  incoming: IncomingMessage,
  sight: Sight,
): Promise<void> {
  const reader = new EventReader();
  incoming.setEncoding('utf8');
  for await (const chunk of incoming) {
    for (const data of reader.push(chunk as string)) {
      if (data === '[DONE]') {
        sight.seen = Seen.Answered;
      } else {
        takeEvent(JSON.parse(data) as StreamEvent, sight);
      }
    }
  }
}

function takeEvent(event: StreamEvent, sight: Sight): void {
  sight.begun = true;
  if (event.error !== undefined) {
    sight.seen = Seen.Refused;
    sight.code = event.error.code;
    sight.run = event.error.run;
    return;
  }
  const text = event.choices?.[0]?.delta?.content;
  if (text !== undefined) {
    sight.firstAt ??= Date.now();
    sight.content += text;
  }
  sight.tokens = event.usage?.total_tokens ?? sight.tokens;
}
