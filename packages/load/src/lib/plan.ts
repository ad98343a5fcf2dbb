/** The requests of one run: drawn from a seed before the run starts. */
import type {Declarations, Millis, WorkClass} from '@citrontrestle/decisions';
import {UpstreamKind} from '@citrontrestle/decisions';
import VError from 'verror';
import {seededRandom} from '@citrontrestle/runtime';
import type {Call} from './client.js';
import type {MixEntry, Scenario} from './scenario.js';

/** One request of a run. */
export interface Planned {
  /** Intended start, from the start of the run. */
  at: Millis;
  /** Text that marks the request at the stand-ins. */
  marker: string;
  account: string;
  budget: string;
  workClass: WorkClass;
  /** Most tokens that the request may be charged. */
  worstCase: number;
  /** Output tokens that the engine is told to make; 0 for services. */
  outputTokens: number;
  call: Call;
}

const TIMEOUT: Millis = 60_000;

/** Bytes of a prompt that make at least one token, as entries count. */
const TOKEN_BYTES = 3;
const MESSAGE_TOKENS = 4;

/** Draws the requests of a run; Poisson arrivals. */
export function plan(
  scenario: Scenario,
  declarations: Declarations,
  keys: Record<string, string>,
  seed: number,
): Planned[] {
  const random = seededRandom(seed);
  const total = scenario.mix.reduce((sum, one) => sum + one.weight, 0);
  const planned: Planned[] = [];
  let at = 0;
  for (;;) {
    at += (-Math.log(1 - random()) * 1_000) / scenario.ratePerSecond;
    if (at >= scenario.durationMs) {
      return planned;
    }
    const one = draw(scenario.mix, random() * total);
    const marker = `m${seed}-${planned.length}`;
    planned.push(request(one, declarations, keys, marker, at));
  }
}

function draw(mix: MixEntry[], point: number): MixEntry {
  let left = point;
  for (const one of mix) {
    left -= one.weight;
    if (left < 0) {
      return one;
    }
  }
  return mix[mix.length - 1] as MixEntry;
}

function request(
  one: MixEntry,
  declarations: Declarations,
  keys: Record<string, string>,
  marker: string,
  at: Millis,
): Planned {
  const workClass = declarations.classes.find(c => c.name === one.class);
  const account = declarations.accounts.find(a => a.name === one.account);
  if (workClass === undefined || account === undefined) {
    throw new VError('no class %s or account %s', one.class, one.account);
  }
  const apiKey = keys[one.account] ?? '';
  const base = {at, marker, account: account.name, budget: account.budget};
  if (workClass.kind === UpstreamKind.Service) {
    const call = serviceCall(workClass, marker, apiKey);
    const worstCase = workClass.priceTokens;
    return {...base, workClass, worstCase, outputTokens: 0, call};
  }
  const outputTokens = Math.min(one.outputTokens, workClass.priceTokens);
  const head = `${one.account} ${one.class} marker:${marker} `;
  const content =
    `${head}words:${outputTokens} ` +
    'x'.repeat(Math.max(0, one.promptCharacters - head.length));
  const bound = Math.ceil(content.length / TOKEN_BYTES) + MESSAGE_TOKENS;
  const worstCase = bound + workClass.priceTokens;
  const body = JSON.stringify({
    model: workClass.name,
    messages: [{role: 'user', content}],
    stream: true,
  });
  const path = '/v1/chat/completions';
  const call = {
    method: 'POST',
    path,
    apiKey,
    key: marker,
    body,
    timeout: TIMEOUT,
  };
  return {...base, workClass, worstCase, outputTokens, call};
}

function serviceCall(
  workClass: WorkClass,
  marker: string,
  apiKey: string,
): Call {
  const path = `/v1/work/${workClass.name}`;
  const shared = {apiKey, key: marker, timeout: TIMEOUT};
  if (workClass.idempotent) {
    const query = `?item=marker:${marker}`;
    return {...shared, method: 'GET', path: path + query, body: undefined};
  }
  const body = JSON.stringify({item: `marker:${marker}`});
  return {...shared, method: 'POST', path, body};
}
