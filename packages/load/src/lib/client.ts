/** HTTP client that sends requests to entries and records the answers. */
import {Agent, request} from 'node:http';
import {
  observeConnectionEnd,
  readBody,
  splitAddress,
} from '@citrontrestle/runtime';
import {EventReader} from '@citrontrestle/engine';
import type {IncomingMessage} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';

/** A request to an entry. */
export interface ClientRequest {
  method: string;
  path: string;
  apiKey: string;
  idempotencyKey: string;
  body: string | undefined;
  timeout: Millis;
}

/** How a request ended, as the client saw it. */
export enum RequestOutcome {
  /** The answer arrived completely. */
  Answered = 'answered',
  /** An error response or an error event in the stream arrived. */
  Refused = 'refused',
  /** No final answer arrived: the connection failed, closed or timed out. */
  Failed = 'failed',
}

/** What the client saw of a request. */
export interface RequestResult {
  outcome: RequestOutcome;
  /** HTTP status; 0 if no response arrived. */
  status: number;
  /** Error code of a refusal; empty otherwise. */
  errorCode: string;
  /** What a refusal says about whether the request ran; empty otherwise. */
  runStatus: string;
  /** Body of a plain answer, or the concatenated text of a stream. */
  content: string;
  /** Total tokens that the answer reports; 0 if it reports none. */
  usedTokens: number;
  /** Time when the first text arrived; undefined if none did. */
  firstTextAt: Millis | undefined;
  /** Whether at least one event of a stream arrived. */
  hasBegun: boolean;
  /** Whether the response has a Retry-After header. */
  hasRetryAfter: boolean;
}

/** Event of a stream, or body of an error response. */
interface StreamEvent {
  error?: {code: string; run: string};
  choices?: {delta?: {content?: string}}[];
  usage?: {total_tokens: number};
}

const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/** Sends requests to entries over keep-alive connections. */
export class Client {
  private readonly agent = new Agent({keepAlive: true, maxSockets: Infinity});

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  /** Sends a request. Connection failures and timeouts resolve as `Failed`. */
  send(address: string, clientRequest: ClientRequest): Promise<RequestResult> {
    return new Promise(resolve => {
      const result = createResult();
      const headers = {
        authorization: `Bearer ${clientRequest.apiKey}`,
        'content-type': 'application/json',
        'idempotency-key': clientRequest.idempotencyKey,
      };
      const outgoing = request({
        ...splitAddress(address),
        method: clientRequest.method,
        path: clientRequest.path,
        headers,
        agent: this.agent,
        timeout: clientRequest.timeout,
      });
      observeConnectionEnd(outgoing);
      outgoing.on('timeout', () => outgoing.destroy(new Error('timeout')));
      outgoing.on('error', () => resolve(result));
      outgoing.on('response', incoming => {
        void readAnswer(incoming, result).then(
          () => resolve(result),
          () => resolve({...result, outcome: RequestOutcome.Failed}),
        );
      });
      outgoing.end(clientRequest.body);
    });
  }
}

function createResult(): RequestResult {
  return {
    outcome: RequestOutcome.Failed,
    status: 0,
    errorCode: '',
    runStatus: '',
    content: '',
    usedTokens: 0,
    firstTextAt: undefined,
    hasBegun: false,
    hasRetryAfter: false,
  };
}

async function readAnswer(
  incoming: IncomingMessage,
  result: RequestResult,
): Promise<void> {
  result.status = incoming.statusCode ?? 0;
  result.hasRetryAfter = incoming.headers['retry-after'] !== undefined;
  const contentType = incoming.headers['content-type'] ?? '';
  if (contentType.startsWith('text/event-stream')) {
    await readStream(incoming, result);
    return;
  }
  const body = await readBody(incoming, MAX_ANSWER_BYTES);
  result.firstTextAt = Date.now();
  if (result.status === 200) {
    result.outcome = RequestOutcome.Answered;
    result.content = body.toString('utf8');
    return;
  }
  result.outcome = RequestOutcome.Refused;
  const {error} = JSON.parse(body.toString('utf8')) as StreamEvent;
  result.errorCode = error?.code ?? '';
  result.runStatus = error?.run ?? '';
}

async function readStream(
  incoming: IncomingMessage,
  result: RequestResult,
): Promise<void> {
  const reader = new EventReader();
  incoming.setEncoding('utf8');
  for await (const chunk of incoming) {
    for (const data of reader.push(chunk as string)) {
      if (data === '[DONE]') {
        result.outcome = RequestOutcome.Answered;
      } else {
        applyStreamEvent(JSON.parse(data) as StreamEvent, result);
      }
    }
  }
}

function applyStreamEvent(event: StreamEvent, result: RequestResult): void {
  result.hasBegun = true;
  if (event.error !== undefined) {
    result.outcome = RequestOutcome.Refused;
    result.errorCode = event.error.code;
    result.runStatus = event.error.run;
    return;
  }
  const text = event.choices?.[0]?.delta?.content;
  if (text !== undefined) {
    result.firstTextAt ??= Date.now();
    result.content += text;
  }
  result.usedTokens = event.usage?.total_tokens ?? result.usedTokens;
}
