/** Runs one case: its record, its temporary folder, its exit status. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Machines} from './machine.mjs';
import {Store} from './store.mjs';

/** Whether the disruption is to be made. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Longest time of a run. */
const TIMEOUT_MS = 110_000;

/** Exit statuses of a run. */
const Status = {Held: 0, Broken: 1, NotRun: 2};

/**
 * Runs a case and exits.
 * @param folder folder of the case, for its record.
 * @param recordName name of the record in that folder.
 * @param play resolves to the breaches of the rule, as lines of text.
 */
export async function runCase(folder, play, recordName = 'record.txt') {
  const lines = [];
  const startedAt = Date.now();
  const record = line => {
    const seconds = ((Date.now() - startedAt) / 1_000).toFixed(3);
    lines.push(`${seconds.padStart(8)} ${line}`);
  };
  const temporary = mkdtempSync(join(tmpdir(), 'review-'));
  const machines = new Machines(temporary, record);
  const store = new Store(record);
  const servers = [];
  const timer = setTimeout(() => {
    record('the case takes too long');
    void end(Status.NotRun);
  }, TIMEOUT_MS);
  const end = async status => {
    clearTimeout(timer);
    await machines.stop();
    servers.forEach(({server}) => {
      server.close();
      server.closeAllConnections();
    });
    store.stop();
    record(`exit ${status}`);
    writeFileSync(join(folder, recordName), `${lines.join('\n')}\n`);
    rmSync(temporary, {recursive: true, force: true});
    process.stdout.write(lines.slice(-8).join('\n') + '\n');
    process.exit(status);
  };
  record(HAS_TROUBLE ? 'with the disruption' : 'without the disruption');
  try {
    const breaches = await play({record, machines, store, servers});
    breaches.forEach(breach => record(`BROKEN ${breach}`));
    await end(breaches.length > 0 ? Status.Broken : Status.Held);
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
    await end(Status.NotRun);
  }
}

/** Key and tenant of the clients. */
export const API_KEY = 'n2ctnfzs989anu6wsjnb';
export const HOST = 'ficu95.example';

/** Returns a configuration like that of the site fhk-hurozas. */
export function configuration(version, overrides = {}) {
  const route = (name, prefix, kind, service, more = {}) => ({
    name,
    host: HOST,
    prefix,
    kind,
    service,
    timeoutMs: 8000,
    targetLatencyMs: 600,
    priority: 1,
    maxAttempts: 1,
    public: false,
    resumable: false,
    sticky: true,
    gapAimMs: 400,
    ...more,
  });
  return {
    version,
    routes: [
      route('racket-history-advice', '/advice/', 'streaming', 'hurtanacs'),
      route('inspection-summary', '/summary/', 'streaming', 'hurtanacs', {
        timeoutMs: 5000,
        targetLatencyMs: 500,
        maxAttempts: 2,
        resumable: true,
      }),
      route('order-record', '/order/', 'non_idempotent', 'rendeles', {
        timeoutMs: 600,
        targetLatencyMs: 121,
        sticky: false,
      }),
      route('order-status', '/status/', 'idempotent', 'rendeles', {
        timeoutMs: 600,
        targetLatencyMs: 121,
        maxAttempts: 2,
        sticky: false,
      }),
    ],
    services: [
      {
        name: 'hurtanacs',
        healthPath: '/health',
        maxConnections: 620,
        engine: {slots: 128, kvCapacityTokens: 623513, stride: 5},
      },
      {name: 'rendeles', healthPath: '/health', maxConnections: 110},
    ],
    tenants: [{name: 'hule930', apiKeys: [API_KEY], prepaid: 10_000_000}],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 10000,
      idleTimeoutMs: 30000,
    },
    ...overrides,
  };
}

let requestCount = 0;

/** Returns a request of a client, with a new identifier. */
export function clientRequest(path, deadlineMs, headers = {}) {
  requestCount += 1;
  return {
    path,
    body: 'request',
    headers: {
      Host: HOST,
      'X-Request-Id': requestCount.toString(16).padStart(16, '0'),
      'X-Request-Deadline-Ms': String(deadlineMs),
      Authorization: `Bearer ${API_KEY}`,
      'Content-Length': '7',
      ...headers,
    },
  };
}

/** Headers with which a request for a stream describes its prompt. */
export const STREAM_HEADERS = {
  'X-Model': 'm',
  'X-Token-Usage': '1460,120',
  'X-Prompt-Prefix': '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
};
