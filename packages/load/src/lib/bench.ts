/** Costs of decisions as their load grows, for the sums of CAPACITY.md. */
import {
  applyBatch,
  BudgetPolicy,
  emptyLedger,
  Membership,
  partitionIndex,
  RoutingPolicy,
  topUp,
  UpstreamKind,
  UpstreamTable,
  Wallet,
  WALLET_DEFAULTS,
  WalletEffectKind,
  WalletEventKind,
} from '@citrontrestle/decisions';
import {CborCodec} from '@citrontrestle/platform';
import {encodeFrame, MessageKind} from '@citrontrestle/fleet';
import {seededRandom} from '@citrontrestle/runtime';
import type {
  Batch,
  Ledger,
  RoutingView,
  WalletEvent,
} from '@citrontrestle/decisions';

/** One measured point. */
export interface Point {
  /** How many of what grows. */
  size: number;
  /** Median time of one decision, in nanoseconds. */
  ns: number;
  /** Bytes: of memory, or on the wire, as the measure says. */
  bytes: number;
}

/** One measure over its sizes. */
export interface Measure {
  name: string;
  /** What grows. */
  unit: string;
  points: Point[];
  /** Growth for each one more, by least squares. */
  slope: {ns: number; bytes: number};
}

const ROUNDS = 9;
const REPEATS = 2_000;

function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Median time of one call in nanoseconds. */
function time(act: () => void, repeats = REPEATS): number {
  const rounds: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const start = process.hrtime.bigint();
    for (let i = 0; i < repeats; i++) {
      act();
    }
    rounds.push(Number(process.hrtime.bigint() - start) / repeats);
  }
  return median(rounds);
}

function slopeOf(points: Point[], pick: (point: Point) => number): number {
  const meanX = points.reduce((s, p) => s + p.size, 0) / points.length;
  const meanY = points.reduce((s, p) => s + pick(p), 0) / points.length;
  let over = 0;
  let under = 0;
  for (const point of points) {
    over += (point.size - meanX) * (pick(point) - meanY);
    under += (point.size - meanX) ** 2;
  }
  return under === 0 ? 0 : over / under;
}

function measure(
  name: string,
  unit: string,
  sizes: number[],
  at: (size: number) => Omit<Point, 'size'>,
): Measure {
  const points = sizes.map(size => ({size, ...at(size)}));
  const slope = {
    ns: slopeOf(points, point => point.ns),
    bytes: slopeOf(points, point => point.bytes),
  };
  return {name, unit, points, slope};
}

function heap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Wallet with `count` budgets known and drawn on, its ledger at hand. */
function walletWith(count: number, partitions: number): Wallet {
  const wallet = new Wallet({
    ...WALLET_DEFAULTS,
    policy: BudgetPolicy.Shares,
    holder: 'entry.1',
    instance: 'entry',
    zone: 'z',
    partitionCount: partitions,
    declaredEntries: 1,
  });
  const ledgers = new Map<number, Ledger>();
  let now = 0;
  const run = (event: WalletEvent) => {
    const queue = [event];
    for (let next = queue.shift(); next; next = queue.shift()) {
      for (const effect of wallet.handle(next, now)) {
        if (effect.kind === WalletEffectKind.ReadLedger) {
          const {partition} = effect;
          const ledger = ledgers.get(partition) ?? emptyLedger();
          const kind = WalletEventKind.LedgerRead;
          queue.push({kind, partition, version: 1, ledger});
        } else if (effect.kind === WalletEffectKind.WriteLedger) {
          const {partition, ledger} = effect;
          ledgers.set(partition, ledger);
          const kind = WalletEventKind.LedgerWritten;
          queue.push({kind, partition, version: 1});
        }
      }
    }
  };
  for (let i = 0; i < count; i++) {
    const name = `budget-${i}`;
    const number = partitionIndex(name, partitions);
    const ledger = ledgers.get(number) ?? emptyLedger();
    topUp(ledger, name, 'initial', 1_000_000);
    ledgers.set(number, ledger);
  }
  run({kind: WalletEventKind.Tick});
  for (let i = 0; i < count; i++) {
    now += 100;
    const request = `r${i}`;
    const budget = `budget-${i}`;
    run({kind: WalletEventKind.Reserve, request, budget, tokens: 100});
    run({kind: WalletEventKind.Free, request});
  }
  return wallet;
}

function reserveAt(count: number): Omit<Point, 'size'> {
  const before = heap();
  const wallet = walletWith(count, 256);
  const bytes = heap() - before;
  let i = 0;
  const ns = time(() => {
    i += 1;
    const request = `t${i}`;
    const budget = `budget-${i % count}`;
    const kind = WalletEventKind.Reserve;
    wallet.handle({kind, request, budget, tokens: 10}, 1e9);
    wallet.handle({kind: WalletEventKind.Free, request}, 1e9);
  });
  return {ns, bytes};
}

function upstreamsOf(count: number): UpstreamTable {
  const table = new UpstreamTable(RoutingPolicy.Estimate, 'entry.1');
  const entries = Array.from({length: count}, (_, i) => ({
    id: `engine-${i}`,
    kind: UpstreamKind.Engine,
    zone: `z${i % 12}`,
    address: `10.0.0.1:${i}`,
    leaving: false,
  }));
  table.applyList(entries);
  for (const {id} of entries) {
    const report = {receivedAt: 0, running: 3, waiting: 0, slots: 8};
    table.recordReport(id, report, false);
  }
  return table;
}

function routeAt(count: number): Omit<Point, 'size'> {
  const before = heap();
  const table = upstreamsOf(count);
  const bytes = heap() - before;
  const view: RoutingView = {
    zone: 'z1',
    now: 100,
    zoneLatency: 0.5,
    instancesPerUpstream: 9,
    cachedUpstream: undefined,
    meanInFlight: 1,
    random: seededRandom(1),
  };
  const none = new Set<string>();
  const ns = time(() => table.choose(UpstreamKind.Engine, view, none), 200);
  return {ns, bytes};
}

function probesAt(count: number): Omit<Point, 'size'> {
  const members = new Membership(4);
  const peers = Array.from({length: count}, (_, i) => ({
    address: `10.0.${i >> 8}.${i & 255}:7000`,
    zone: `z${i % 12}`,
  }));
  members.applyInstanceList(peers, 0);
  for (const {address, zone} of peers) {
    members.recordMessage(address, zone, `entry-${address}`, 0);
  }
  const random = seededRandom(2);
  const ns = time(() => {
    members.pickProbeTargets(random);
    members.livePeers(100);
  }, 500);
  const kind = MessageKind.Probe;
  return {ns, bytes: 4 * encodeFrame({kind, generation: 1}).length};
}

/** A partition with `bills` in its window and shares of 9 holders. */
function ledgerWith(bills: number, budgets: number, holders: number): Ledger {
  const ledger = emptyLedger();
  for (let b = 0; b < budgets; b++) {
    topUp(ledger, `budget-${b}`, 'initial', 1_000_000);
  }
  for (let h = 0; h < holders; h++) {
    applyBatch(ledger, batchOf(`entry-${h}.0a1b2c3d`, 1, []));
    const record = ledger.budgets[`budget-${h % budgets}`];
    if (record !== undefined) {
      record.shares[`entry-${h}.0a1b2c3d`] = {
        taken: 1_000,
        returned: 0,
        billed: 500,
        sent: {},
        received: {},
        delivered: 0,
      };
    }
  }
  for (let i = 0; i < bills; i++) {
    const digest = i.toString(16).padStart(16, '0');
    ledger.bills[digest] = {holder: `entry-${i % holders}.0a1b2c3d`, at: i};
  }
  return ledger;
}

function batchOf(
  holder: string,
  sequence: number,
  settlements: Batch['settlements'],
): Batch {
  return {
    holder,
    instance: holder,
    sequence,
    seenCloses: 0,
    settlements,
    reportedCounts: {},
    allocationRequests: {},
    isLeaving: false,
    now: 0,
    billRetention: 600_000,
  };
}

/** Costs of one write of a ledger. */
function ledgerWrite(ledger: Ledger): Omit<Point, 'size'> {
  const codec = new CborCodec();
  const ns = time(() => {
    const next = structuredClone(ledger);
    applyBatch(next, batchOf('entry-0.0a1b2c3d', 2, []));
    codec.encode(next);
  }, 20);
  return {ns, bytes: codec.encode(ledger).length};
}

/** Runs all measures. */
export function runBench(): Measure[] {
  return [
    measure(
      'reserve and free from a local share; bytes of memory',
      'budgets drawn on',
      [100, 1_000, 4_000, 12_000, 36_000],
      reserveAt,
    ),
    measure(
      'choose an upstream; bytes of memory',
      'upstreams',
      [12, 100, 1_000, 4_300],
      routeAt,
    ),
    measure(
      'pick probes and list live peers; bytes of 4 probes',
      'members',
      [3, 9, 30, 100, 410],
      probesAt,
    ),
    measure(
      'apply and encode a ledger write; bytes of the value',
      'bills in the window',
      [0, 500, 1_500, 4_000],
      bills => ledgerWrite(ledgerWith(bills, 140, 9)),
    ),
    measure(
      'apply and encode a ledger write; bytes of the value',
      'holders',
      [3, 9, 30, 100, 410],
      holders => ledgerWrite(ledgerWith(100, 140, holders)),
    ),
  ];
}
