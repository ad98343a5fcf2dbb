/** The promises, checked on what callers and upstreams saw of one run. */
import type {Millis} from '@citrontrestle/decisions';
import type {CallerResult, ServerRun} from '@citrontrestle/stand_ins';

/** Kinds of requests. */
export enum RequestKind {
  Read = 'read',
  Order = 'order',
  /** A stream that may not be run again. */
  Talk = 'talk',
  /** A stream that may be resumed at another upstream. */
  Long = 'long',
}

/** One request of a caller and what came of it. */
export interface Sent {
  id: string;
  kind: RequestKind;
  account: string;
  key: string;
  gateway: string;
  at: number;
  result: CallerResult;
}

/** A span of time in which something was out of order. */
export interface Trouble {
  /** Instance or upstream; undefined for all. */
  name: string | undefined;
  from: number;
  until: number;
}

/** A key that was taken away. */
export interface Revocation {
  key: string;
  at: number;
}

/** An upstream that was announced as leaving. */
export interface Leaving {
  upstream: string;
  at: number;
}

/** What was seen in one run. */
export interface Sight {
  sent: Sent[];
  /** Requests that upstreams began to run, by upstream. */
  runs: {upstream: string; run: ServerRun}[];
  /** Tokens granted to each account at last. */
  granted: ReadonlyMap<string, number>;
  /** Troubles of instances: while one lasts, bounds of time don't hold. */
  troubles: Trouble[];
  /** Planned stops. */
  stops: {gateway: string; at: number}[];
  revocations: Revocation[];
  leavings: Leaving[];
}

/** A promise that was broken. */
export interface Breach {
  promise: string;
  detail: string;
  /** Identifiers of the requests concerned. */
  requests: string[];
}

/** Tokens of one event. */
export const TOKENS_PER_EVENT = 5;

/** Prompt and most output tokens of a stream. */
export const USAGE = {input: 100, mostOutput: 30};

/** Events of a whole stream. */
export const EVENTS = 6;

/** Bound within which a change is in force. */
const CHANGE_BOUND: Millis = 2_000;

/** Time without trouble after which bounds of time hold. */
const CONTACT: Millis = 3_000;

/** Time for which a planned stop takes. */
const GRACE: Millis = 8_000;

/** Time after the last byte of a request after which it counts as read. */
const READ_SLACK: Millis = 200;

/** Statuses that promise that the request never runs. */
const PROMISES = new Set([408, 421, 429, 503]);

type Check = (sight: Sight) => Breach[];

/** Checks a run. */
export function check(sight: Sight): Breach[] {
  return Object.values(CHECKS).flatMap(one => one(sight));
}

/** The checks by promise. */
export const CHECKS: Readonly<Record<string, Check>> = {
  'a budget is never overspent': overspent,
  'at most once': repeated,
  'not run means not run': falseRefusals,
  'a whole answer of its own': answers,
  'a planned stop cuts nothing': cut,
  'a key that is gone serves nobody': revoked,
  'an upstream that leaves gets nothing new': left,
};

function overspent({sent, runs, granted}: Sight): Breach[] {
  const ran = new Set(runs.map(({run}) => run.id));
  const spent = new Map<string, number>();
  for (const {id, account, kind, result} of sent) {
    const streams = kind === RequestKind.Talk || kind === RequestKind.Long;
    if (streams && ran.has(id)) {
      const output = eventIds(result).length * TOKENS_PER_EVENT;
      const used = USAGE.input + Math.min(USAGE.mostOutput, output);
      spent.set(account, (spent.get(account) ?? 0) + used);
    }
  }
  return [...spent]
    .filter(([account, used]) => used > (granted.get(account) ?? 0))
    .map(([account, used]) => ({
      promise: 'a budget is never overspent',
      detail: `${account}: ${used} of ${granted.get(account)}`,
      requests: [],
    }));
}

function repeated({sent, runs}: Sight): Breach[] {
  const counts = new Map<string, number>();
  for (const {run} of runs) {
    counts.set(run.id, (counts.get(run.id) ?? 0) + 1);
  }
  return sent
    .filter(({kind}) => kind === RequestKind.Order || kind === RequestKind.Talk)
    .filter(({id}) => (counts.get(id) ?? 0) > 1)
    .map(({id, kind}) => ({
      promise: 'at most once',
      detail: `${kind} ran ${counts.get(id)} times`,
      requests: [id],
    }));
}

function falseRefusals({sent, runs}: Sight): Breach[] {
  const ran = new Set(runs.map(({run}) => run.id));
  return sent
    .filter(({id, result}) => PROMISES.has(result.status) && ran.has(id))
    .map(({id, result}) => ({
      promise: 'not run means not run',
      detail: `${result.status}, and it ran`,
      requests: [id],
    }));
}

function answers({sent}: Sight): Breach[] {
  return sent.flatMap(one => {
    const fault = one.result.status === 200 ? answerFault(one) : undefined;
    const promise = 'a whole answer of its own';
    return fault === undefined
      ? []
      : [{promise, detail: `${one.kind}: ${fault}`, requests: [one.id]}];
  });
}

function answerFault({id, kind, result}: Sent): string | undefined {
  if (result.requestId !== id) {
    return 'answer of another request';
  }
  if (!result.hasSeal) {
    return 'success without a seal';
  }
  const framed = result.complete && result.hasFraming;
  if (kind === RequestKind.Read || kind === RequestKind.Order) {
    return framed && result.body !== 'done' ? 'not the whole body' : undefined;
  }
  const ids = eventIds(result);
  if (ids.some((event, index) => event !== index + 1)) {
    return `events ${ids.join(',')}`;
  }
  const short = ids.length < EVENTS && framed;
  return short ? `complete after ${ids.length} events` : undefined;
}

function cut({sent, runs, troubles, stops}: Sight): Breach[] {
  const faulty = new Set(
    runs.filter(({run}) => run.fault !== 'none').map(({run}) => run.id),
  );
  return sent
    .filter(one => {
      const stop = stops.find(
        ({gateway, at}) =>
          gateway === one.gateway &&
          one.result.endedAt >= at &&
          one.result.endedAt < at + GRACE,
      );
      const broken = one.result.status === 0 || !one.result.complete;
      const read = one.result.endedAt - one.at > READ_SLACK;
      const calm = isCalm(troubles, one.gateway, one.at, one.result.endedAt);
      return (
        stop !== undefined && broken && read && calm && !faulty.has(one.id)
      );
    })
    .map(({id, gateway}) => ({
      promise: 'a planned stop cuts nothing',
      detail: `cut at ${gateway}`,
      requests: [id],
    }));
}

function revoked({sent, troubles, revocations}: Sight): Breach[] {
  return sent
    .filter(one => {
      const gone = revocations.find(({key}) => key === one.key);
      const bound = (gone?.at ?? Infinity) + CHANGE_BOUND;
      const late = one.at > bound && one.result.status === 200;
      return late && isCalm(troubles, one.gateway, one.at, one.at);
    })
    .map(({id, gateway}) => ({
      promise: 'a key that is gone serves nobody',
      detail: `served by ${gateway}`,
      requests: [id],
    }));
}

function left({sent, runs, troubles, leavings}: Sight): Breach[] {
  const gateways = new Map(sent.map(one => [one.id, one.gateway]));
  return runs
    .filter(({upstream, run}) => {
      const leaving = leavings.find(one => one.upstream === upstream);
      const late = run.startedAt > (leaving?.at ?? Infinity) + CHANGE_BOUND;
      const gateway = gateways.get(run.id) ?? '';
      return late && isCalm(troubles, gateway, run.startedAt, run.startedAt);
    })
    .map(({upstream, run}) => ({
      promise: 'an upstream that leaves gets nothing new',
      detail: `${upstream} ran a request of ${gateways.get(run.id)}`,
      requests: [run.id],
    }));
}

/** Whether an instance was in touch for the whole of a span. */
function isCalm(
  troubles: Trouble[],
  gateway: string,
  from: number,
  until: number,
): boolean {
  return !troubles.some(
    trouble =>
      (trouble.name === undefined || trouble.name === gateway) &&
      trouble.from <= until &&
      trouble.until + CONTACT >= from,
  );
}

/** Identifiers of the whole events of an answer. */
function eventIds({body}: CallerResult): number[] {
  return [...body.matchAll(/^id: (\d+)\ndata: token \d+\n\n/gm)].map(match =>
    Number(match[1]),
  );
}
