/** Client of plain services: one call, one answer that names the call. */
import {Agent} from 'node:http';
import {AttemptOutcome} from '@citrontrestle/decisions';
import {call, CallOutcome} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';
import type {CallResult} from '@citrontrestle/runtime';

/** One call of a plain service. */
export interface ServiceCall {
  /** Address as `ip:port`. */
  address: string;
  id: string;
  method: string;
  /** Path with query. */
  path: string;
  contentType: string | undefined;
  body: Buffer | undefined;
  timeout: Millis;
}

/** What became of a call. */
export type ServiceResult =
  | {
      outcome: AttemptOutcome.Answered;
      status: number;
      contentType: string;
      body: Buffer;
    }
  | {outcome: Exclude<AttemptOutcome, AttemptOutcome.Answered>; reason: string};

/** Client of plain services. */
export class ServiceClient {
  // No kept connections: a connection that the service closes while a call is
  // written can't be told from one that ran the call.
  private readonly agent = new Agent({keepAlive: false});

  /** Makes one call, once. */
  async call(options: ServiceCall): Promise<ServiceResult> {
    const {address, id, method, path, contentType, body, timeout} = options;
    const headers = {
      'x-request-id': id,
      ...(contentType === undefined ? {} : {'content-type': contentType}),
    };
    const {agent} = this;
    const result = await call({
      address,
      method,
      path,
      headers,
      body,
      timeout,
      agent,
    });
    return judge(result, id);
  }
}

function judge(result: CallResult, id: string): ServiceResult {
  if (result.outcome !== CallOutcome.Answered) {
    const lost = result.outcome === CallOutcome.Lost;
    const {Broken, Refused} = AttemptOutcome;
    return {outcome: lost ? Broken : Refused, reason: result.reason};
  }
  const {status, headers, body} = result;
  const notRun = headers['x-not-run'];
  if (notRun !== undefined) {
    const {Leaving, Refused} = AttemptOutcome;
    const outcome = notRun === 'leaving' ? Leaving : Refused;
    return {outcome, reason: `status ${status}`};
  }
  if (headers['x-request-id'] !== id) {
    const reason = 'answer to another request';
    return {outcome: AttemptOutcome.Foreign, reason};
  }
  const contentType = headers['content-type'] ?? 'application/octet-stream';
  return {outcome: AttemptOutcome.Answered, status, contentType, body};
}
