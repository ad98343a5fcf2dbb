/** Sends the requests of all callers of one run. */
import {Agent} from 'node:http';
import {seededRandom} from '@citrontrestle/runtime';
import {
  call,
  completeEventIds,
  pause,
  promptHeaders,
  tokenStreamHeaders,
} from '@citrontrestle/stand_ins';
import {
  NOT_EXECUTED_STATUSES,
  RequestKind,
  STREAM_TOKENS,
  TRY_HEADER,
} from './observations.js';
import {pickItem} from './faults/context.js';
import type {SentRequest} from './observations.js';
import type {Account} from './faults/context.js';
import type {UpstreamFaults} from './faults/upstream_faults.js';
import type {RunPlan} from './plan.js';
import type {
  CallerResult,
  GatewayProcess,
  HostedFleet,
} from '@citrontrestle/stand_ins';
import type {Millis} from '@citrontrestle/decisions';

/** Time after which a caller gives up; also the deadline that it sends. */
const CALLER_TIMEOUT: Millis = 3_000;

/** Number of shared HTTP agents; each keeps connections to all instances. */
const AGENT_COUNT = 8;

/** Share of the requests whose caller has one connection of its own. */
const OWN_CONNECTION_SHARE = 0.25;

/** Share of the tries whose caller leaves before its time is up. */
const LEAVING_SHARE = 0.15;

/** Minimum and maximum time after which such a caller leaves. */
const LEAVING_TIME = {min: 2, max: 900};

/** Share of those callers that reset their connection. */
const RESET_SHARE = 0.5;

/** Share of the streams with the part that crashes upstreams, if there is one. */
const CRASHING_SHARE = 0.25;

/** Share of long bodies while upstreams end answers in ways of their own. */
const LONG_BODY_SHARE = 0.4;

/** Minimum and maximum length of a long body. */
const LONG_BODY_BYTES = {min: 2_000, max: 3_000_000};

/** Number of sound parts that prompts share. */
const SHARED_PARTS = 20;

/**
 * Longest Retry-After that a caller waits for, as a fraction of its remaining
 * time.
 */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;

/** Maximum number of tries of one request. */
const MAX_TRIES = 5;

/** How a caller comes back after a refusal. */
interface ReturnWay {
  /** Whether it waits for Retry-After. */
  isPatient: boolean;
  /** Whether it comes back without a delay of its own. */
  isAtOnce: boolean;
  /** Whether it goes to any instance, and not to the same one. */
  isElsewhere: boolean;
}

/**
 * The ways of callers, with equal shares. One that comes back at once uses the
 * same connection if that is still open.
 */
const RETURN_WAYS: readonly ReturnWay[] = [
  {isPatient: true, isAtOnce: true, isElsewhere: false},
  {isPatient: true, isAtOnce: false, isElsewhere: true},
  {isPatient: false, isAtOnce: true, isElsewhere: false},
  {isPatient: false, isAtOnce: false, isElsewhere: false},
  {isPatient: false, isAtOnce: false, isElsewhere: true},
];

/** Minimum and maximum delay of a caller that does not come back at once. */
const RETURN_DELAY = {min: 60, max: 120};

/** Statuses after which a caller sends an idempotent request again. */
const REPEATABLE_STATUSES = new Set([0, 502, 504, ...NOT_EXECUTED_STATUSES]);

/** Statuses after which a caller comes back with the same identifier. */
const RETURN_STATUSES: Readonly<Record<RequestKind, ReadonlySet<number>>> = {
  [RequestKind.Read]: REPEATABLE_STATUSES,
  [RequestKind.Order]: NOT_EXECUTED_STATUSES,
  [RequestKind.NonResumableStream]: NOT_EXECUTED_STATUSES,
  [RequestKind.ResumableStream]: NOT_EXECUTED_STATUSES,
};

/** Path, method, body and headers of each kind of request. */
const REQUEST_OPTIONS: Readonly<
  Record<RequestKind, Parameters<typeof call>[1]>
> = {
  [RequestKind.Read]: {path: '/read/1'},
  [RequestKind.Order]: {path: '/order/1', method: 'POST', body: 'racket'},
  [RequestKind.NonResumableStream]: streamRequestOptions('/talk/1'),
  [RequestKind.ResumableStream]: streamRequestOptions('/long/1'),
};

function streamRequestOptions(path: string): Parameters<typeof call>[1] {
  const headers = tokenStreamHeaders(
    STREAM_TOKENS.input,
    STREAM_TOKENS.maxOutput,
  );
  return {path, method: 'POST', body: 'prompt', headers};
}

/** How a caller leaves before its time is up. */
interface Departure {
  after: Millis;
  resets: boolean;
}

/** A request as all its tries send it. */
interface CallerRequest {
  id: string;
  kind: RequestKind;
  account: string;
  apiKey: string;
  agent: Agent;
  promptHeaders: Record<string, string>;
  resumed: SentRequest['resumed'];
  /** A long body in place of the usual one. */
  longBody: string | undefined;
}

/** Sends the requests of all callers of one run. */
export class Callers {
  private readonly sentRequests: SentRequest[] = [];
  /**
   * Connections stay in use until they close, also while their instance stops.
   */
  private readonly agents = Array.from(
    {length: AGENT_COUNT},
    () => new Agent({keepAlive: true}),
  );
  private readonly random: () => number;
  /** Separate, so that the requests of a seed do not depend on departures. */
  private readonly departureRandom: () => number;
  /** Separate for the same reason. */
  private readonly bodyRandom: () => number;
  private requestCount = 0;

  constructor(
    private readonly fleet: HostedFleet,
    private readonly accounts: Account[],
    private readonly plan: RunPlan,
    private readonly upstreamFaults: UpstreamFaults,
  ) {
    this.random = seededRandom(plan.seed + 1);
    this.departureRandom = seededRandom(plan.seed + 3);
    this.bodyRandom = seededRandom(plan.seed + 5);
  }

  /**
   * Sends requests at random intervals for the duration of the load; resolves
   * when all have ended.
   */
  async run(): Promise<SentRequest[]> {
    const {requestsPerSecond, loadDuration} = this.plan;
    const pending: Promise<void>[] = [];
    const endTime = Date.now() + loadDuration;
    while (Date.now() < endTime) {
      pending.push(this.sendNext());
      await pause((-Math.log(1 - this.random()) * 1_000) / requestsPerSecond);
    }
    await Promise.all(pending);
    this.agents.forEach(agent => agent.destroy());
    return this.sentRequests;
  }

  /** Sends a random request; takes a stream up again that was broken off. */
  private async sendNext(): Promise<void> {
    const kind = pickItem(Object.values(RequestKind), this.random());
    const account = pickItem(this.accounts, this.random());
    const hasOwnConnection = this.random() < OWN_CONNECTION_SHARE;
    const agent = hasOwnConnection
      ? new Agent({keepAlive: true, maxSockets: 1})
      : pickItem(this.agents, this.random());
    const id = this.nextId();
    const request: CallerRequest = {
      id,
      kind,
      account: account.name,
      apiKey: pickItem(account.apiKeys, this.random()),
      agent,
      promptHeaders: this.promptHeaders(kind, id),
      resumed: undefined,
      longBody: this.drawLongBody(kind),
    };
    const result = await this.sendUntilAnswered(request);
    const lastEvent = completeEventIds(result).at(-1);
    const isBrokenOff = result.status === 200 && !result.complete;
    if (
      kind === RequestKind.ResumableStream &&
      isBrokenOff &&
      lastEvent !== undefined
    ) {
      await this.sendUntilAnswered({
        ...request,
        id: this.nextId(),
        resumed: {id, lastEvent},
      });
    }
    if (hasOwnConnection) {
      agent.destroy();
    }
  }

  /**
   * Sends a request, and again under the same identifier after a refusal, if
   * enough time is left.
   */
  private async sendUntilAnswered(
    request: CallerRequest,
  ): Promise<CallerResult> {
    const giveUpAt = Date.now() + CALLER_TIMEOUT;
    let gateway = this.pickGateway();
    for (let tryNumber = 1; ; tryNumber++) {
      const {result, leftAt} = await this.send(request, tryNumber, gateway);
      const way = pickItem(RETURN_WAYS, this.random());
      const retryAfter = Number(result.headers['retry-after'] ?? 0) * 1_000;
      const wait = way.isPatient ? retryAfter : 0;
      const remainingTime = giveUpAt - Date.now();
      if (
        tryNumber === MAX_TRIES ||
        leftAt !== undefined ||
        !RETURN_STATUSES[request.kind].has(result.status) ||
        wait > remainingTime * MAX_RETRY_AFTER_FRACTION
      ) {
        return result;
      }
      const {min, max} = RETURN_DELAY;
      const delay = way.isAtOnce ? 0 : min + this.random() * (max - min);
      await pause(wait + delay);
      gateway = way.isElsewhere ? this.pickGateway() : gateway;
    }
  }

  private pickGateway(): GatewayProcess {
    return pickItem(this.fleet.gateways, this.random());
  }

  private nextId(): string {
    this.requestCount += 1;
    return `s${this.plan.seed}-${this.requestCount}`;
  }

  /** Sends one try of a request to an instance. */
  private async send(
    {promptHeaders, agent, longBody, ...details}: CallerRequest,
    tryNumber: number,
    gateway: GatewayProcess,
  ): Promise<SentRequest> {
    const {id, kind, apiKey, resumed} = details;
    const options = REQUEST_OPTIONS[kind];
    const sentRequest: SentRequest = {
      ...details,
      tryNumber,
      gateway: gateway.name,
      sentAt: Date.now(),
      result: {} as CallerResult,
    };
    this.sentRequests.push(sentRequest);
    const departure = this.drawDeparture();
    const response = await call(gateway.callerAddress, {
      ...options,
      ...(longBody !== undefined && {body: longBody}),
      agent,
      disconnectAfterMs: departure?.after ?? CALLER_TIMEOUT,
      resets: departure?.resets === true,
      headers: {
        ...options.headers,
        ...promptHeaders,
        ...(resumed && {
          'Last-Event-Id': String(resumed.lastEvent),
          Resumes: resumed.id,
        }),
        Authorization: `Bearer ${apiKey}`,
        'X-Request-Id': id,
        [TRY_HEADER]: String(tryNumber),
        'X-Request-Deadline-Ms': String(CALLER_TIMEOUT),
      },
    });
    Object.assign(sentRequest.result, response);
    if (response.hasLeft) {
      sentRequest.leftAt = response.endedAt;
    }
    return sentRequest;
  }

  /** Draws how a caller leaves; undefined if it stays. */
  private drawDeparture(): Departure | undefined {
    const random = this.departureRandom;
    const {min, max} = LEAVING_TIME;
    const [leaves, time, end] = [random(), random(), random()];
    return leaves < LEAVING_SHARE
      ? {after: min + time * (max - min), resets: end < RESET_SHARE}
      : undefined;
  }

  /** Draws a long body while upstreams end answers in ways of their own. */
  private drawLongBody(kind: RequestKind): string | undefined {
    const random = this.bodyRandom;
    const [share, size] = [random(), random()];
    const {min, max} = LONG_BODY_BYTES;
    const isLong =
      kind !== RequestKind.Read &&
      share < LONG_BODY_SHARE &&
      this.upstreamFaults.endsAnswers();
    // Evenly on a logarithmic scale.
    return isLong ? 'x'.repeat(min * (max / min) ** size) : undefined;
  }

  /** Returns the prompt of a stream; some have the part that crashes upstreams. */
  private promptHeaders(kind: RequestKind, id: string): Record<string, string> {
    if (REQUEST_OPTIONS[kind].headers === undefined) {
      return {};
    }
    const crashingPart = this.upstreamFaults.crashingPartName();
    const isBad = crashingPart !== undefined && this.random() < CRASHING_SHARE;
    const shared = isBad
      ? crashingPart
      : `shared-${Math.floor(this.random() * SHARED_PARTS)}`;
    const ownTokens = STREAM_TOKENS.input / 2;
    return promptHeaders([
      [shared, ownTokens],
      [id, ownTokens],
    ]);
  }
}
