/** Plans the requests of a run from a seed, before the run starts. */
import type {Declarations, Millis, WorkClass} from '@citrontrestle/decisions';
import {UpstreamKind} from '@citrontrestle/decisions';
import VError from 'verror';
import {seededRandom} from '@citrontrestle/runtime';
import type {ClientRequest} from './client.js';
import type {MixEntry, Scenario} from './scenario.js';

/** A request of a run. */
export interface PlannedRequest {
  /** Intended start, relative to the start of the run. */
  startOffset: Millis;
  /** Text by which the stand-ins identify the request. */
  marker: string;
  account: string;
  budget: string;
  workClass: WorkClass;
  /** Maximum number of tokens that the request may be charged. */
  maxTokens: number;
  /** Output tokens that the prompt requests of the engine; 0 for services. */
  outputTokens: number;
  clientRequest: ClientRequest;
}

const REQUEST_TIMEOUT: Millis = 60_000;

/** Minimum number of prompt bytes per token that entries assume. */
const MIN_PROMPT_BYTES_PER_TOKEN = 3;

/** Maximum number of tokens that entries add for each message. */
const MAX_TOKENS_ADDED_PER_MESSAGE = 4;

/**
 * Draws the requests of a run from the mix of the scenario, with Poisson
 * arrivals. The same seed gives the same requests. Throws if the mix names a
 * class or an account that is not declared.
 */
export function planRequests(
  scenario: Scenario,
  declarations: Declarations,
  apiKeys: Record<string, string>,
  seed: number,
): PlannedRequest[] {
  const random = seededRandom(seed);
  const totalWeight = scenario.mix.reduce(
    (sum, mixEntry) => sum + mixEntry.weight,
    0,
  );
  const planned: PlannedRequest[] = [];
  let startOffset = 0;
  for (;;) {
    startOffset += (-Math.log(1 - random()) * 1_000) / scenario.ratePerSecond;
    if (startOffset >= scenario.durationMs) {
      return planned;
    }
    const mixEntry = pickMixEntry(scenario.mix, random() * totalWeight);
    const marker = `m${seed}-${planned.length}`;
    planned.push(
      planRequest(mixEntry, declarations, apiKeys, marker, startOffset),
    );
  }
}

/** Picks the mix entry at a position between 0 and the sum of the weights. */
function pickMixEntry(mix: MixEntry[], position: number): MixEntry {
  let remaining = position;
  for (const mixEntry of mix) {
    remaining -= mixEntry.weight;
    if (remaining < 0) {
      return mixEntry;
    }
  }
  return mix[mix.length - 1] as MixEntry;
}

function planRequest(
  mixEntry: MixEntry,
  declarations: Declarations,
  apiKeys: Record<string, string>,
  marker: string,
  startOffset: Millis,
): PlannedRequest {
  const workClass = declarations.classes.find(c => c.name === mixEntry.class);
  const account = declarations.accounts.find(a => a.name === mixEntry.account);
  if (workClass === undefined || account === undefined) {
    throw new VError(
      'the mix names class %s and account %s, but not both are declared',
      mixEntry.class,
      mixEntry.account,
    );
  }
  const apiKey = apiKeys[mixEntry.account] ?? '';
  const base = {
    startOffset,
    marker,
    account: account.name,
    budget: account.budget,
  };
  if (workClass.kind === UpstreamKind.Service) {
    const clientRequest = createServiceRequest(workClass, marker, apiKey);
    const maxTokens = workClass.priceTokens;
    return {...base, workClass, maxTokens, outputTokens: 0, clientRequest};
  }
  const outputTokens = Math.min(mixEntry.outputTokens, workClass.priceTokens);
  const prefix = `${mixEntry.account} ${mixEntry.class} marker:${marker} `;
  const content =
    `${prefix}words:${outputTokens} ` +
    'x'.repeat(Math.max(0, mixEntry.promptCharacters - prefix.length));
  const maxPromptTokens =
    Math.ceil(content.length / MIN_PROMPT_BYTES_PER_TOKEN) +
    MAX_TOKENS_ADDED_PER_MESSAGE;
  const maxTokens = maxPromptTokens + workClass.priceTokens;
  const body = JSON.stringify({
    model: workClass.name,
    messages: [{role: 'user', content}],
    stream: true,
  });
  const path = '/v1/chat/completions';
  const clientRequest = {
    method: 'POST',
    path,
    apiKey,
    idempotencyKey: marker,
    body,
    timeout: REQUEST_TIMEOUT,
  };
  return {...base, workClass, maxTokens, outputTokens, clientRequest};
}

/** Creates a GET request for an idempotent class, else a POST request. */
function createServiceRequest(
  workClass: WorkClass,
  marker: string,
  apiKey: string,
): ClientRequest {
  const path = `/v1/work/${workClass.name}`;
  const common = {apiKey, idempotencyKey: marker, timeout: REQUEST_TIMEOUT};
  if (workClass.idempotent) {
    const query = `?item=marker:${marker}`;
    return {...common, method: 'GET', path: path + query, body: undefined};
  }
  const body = JSON.stringify({item: `marker:${marker}`});
  return {...common, method: 'POST', path, body};
}
