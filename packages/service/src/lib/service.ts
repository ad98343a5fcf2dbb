/** Client for plain services: one call, one answer with the id of the call. */
import {AttemptOutcome, promisesNotRun} from '@citrontrestle/decisions';
import {
  HttpOutcome,
  ResettingAgent,
  sendHttpRequest,
} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';
import type {HttpResult} from '@citrontrestle/runtime';

/** A call to a plain service. */
export interface ServiceCall {
  /** Address as `ip:port`. */
  address: string;
  /** Request id; the answer must carry it. */
  id: string;
  method: string;
  /** Path with query. */
  path: string;
  contentType: string | undefined;
  body: Buffer | undefined;
  timeout: Millis;
}

/** Result of a call: the answer, or why it failed. */
export type ServiceResult =
  | {
      outcome: AttemptOutcome.Answered;
      status: number;
      contentType: string;
      body: Buffer;
    }
  | {outcome: Exclude<AttemptOutcome, AttemptOutcome.Answered>; reason: string};

/** Client for plain services. */
export class ServiceClient {
  // No keep-alive: if the service closes a reused connection while a call is
  // being sent, it is unknown whether the call ran. Nor can a new connection
  // carry a copy of the answer to an earlier call.
  private readonly agent = new ResettingAgent({keepAlive: false});

  /** Sends a call once, without retries; failures are results. */
  async call(options: ServiceCall): Promise<ServiceResult> {
    const {address, id, method, path, contentType, body, timeout} = options;
    const headers = {
      'x-request-id': id,
      ...(contentType === undefined ? {} : {'content-type': contentType}),
    };
    const {agent} = this;
    const result = await sendHttpRequest({
      address,
      method,
      path,
      headers,
      body,
      timeout,
      agent,
    });
    return toServiceResult(result, id);
  }
}

function toServiceResult(result: HttpResult, id: string): ServiceResult {
  if (result.outcome !== HttpOutcome.Answered) {
    const mayHaveRun = result.outcome !== HttpOutcome.NotSent;
    const {Broken, Refused} = AttemptOutcome;
    return {outcome: mayHaveRun ? Broken : Refused, reason: result.reason};
  }
  const {status, headers, body} = result;
  const name = headers['x-request-id'];
  const notRun = headers['x-not-run'];
  // A refusal may lack the identifier: its connection is new and carries this
  // call only, so it can't be that of another call.
  const isOwn = name === id || (name === undefined && notRun !== undefined);
  if (!isOwn) {
    const reason = 'the answer carries the id of another request';
    return {outcome: AttemptOutcome.Mismatched, reason};
  }
  if (notRun !== undefined) {
    const {Leaving, Refused} = AttemptOutcome;
    const outcome = notRun === 'leaving' ? Leaving : Refused;
    return {outcome, reason: `status ${status}`};
  }
  if (promisesNotRun(status)) {
    // The service does not state it, so the call may have run.
    return {outcome: AttemptOutcome.Broken, reason: `status ${status}`};
  }
  const contentType = headers['content-type'] ?? 'application/octet-stream';
  return {outcome: AttemptOutcome.Answered, status, contentType, body};
}
