/**
 * Benchmarks of how the time and memory of decisions grow with their load. The
 * capacity calculations in CAPACITY.md use the results.
 */
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

/** Result of a benchmark at one size. */
export interface DataPoint {
  /** Number of units; see `BenchmarkResult.unit`. */
  size: number;
  /** Median time of one decision, in nanoseconds. */
  ns: number;
  /** Bytes of memory or of encoded data; the benchmark's name says which. */
  bytes: number;
}

/** Result of a benchmark at all its sizes. */
export interface BenchmarkResult {
  name: string;
  /** What `DataPoint.size` counts, such as budgets or upstreams. */
  unit: string;
  points: DataPoint[];
  /** Growth per additional unit, fitted by least squares. */
  slope: {ns: number; bytes: number};
}

const ROUND_COUNT = 9;
const CALLS_PER_ROUND = 2_000;

function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Median over all rounds of the mean time of a call, in nanoseconds. */
function medianCallNs(
  action: () => void,
  callsPerRound = CALLS_PER_ROUND,
): number {
  const roundMeans: number[] = [];
  for (let round = 0; round < ROUND_COUNT; round++) {
    const start = process.hrtime.bigint();
    for (let i = 0; i < callsPerRound; i++) {
      action();
    }
    roundMeans.push(Number(process.hrtime.bigint() - start) / callsPerRound);
  }
  return median(roundMeans);
}

/** Slope of the least-squares line of a value over the sizes. */
function leastSquaresSlope(
  points: DataPoint[],
  selectY: (point: DataPoint) => number,
): number {
  const meanX = points.reduce((s, p) => s + p.size, 0) / points.length;
  const meanY = points.reduce((s, p) => s + selectY(p), 0) / points.length;
  let covarianceSum = 0;
  let varianceSum = 0;
  for (const point of points) {
    covarianceSum += (point.size - meanX) * (selectY(point) - meanY);
    varianceSum += (point.size - meanX) ** 2;
  }
  return varianceSum === 0 ? 0 : covarianceSum / varianceSum;
}

/** Measures at each size and fits the growth. */
function runBenchmark(
  name: string,
  unit: string,
  sizes: number[],
  measurePoint: (size: number) => Omit<DataPoint, 'size'>,
): BenchmarkResult {
  const points = sizes.map(size => ({size, ...measurePoint(size)}));
  const slope = {
    ns: leastSquaresSlope(points, point => point.ns),
    bytes: leastSquaresSlope(points, point => point.bytes),
  };
  return {name, unit, points, slope};
}

/** Used heap in bytes; without garbage if node runs with --expose-gc. */
function usedHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/**
 * Creates a wallet that has reserved and freed tokens of each budget. Its
 * ledger reads and writes are answered at once from memory.
 */
function createWallet(budgetCount: number, partitionCount: number): Wallet {
  const wallet = new Wallet({
    ...WALLET_DEFAULTS,
    policy: BudgetPolicy.Shares,
    holder: 'entry.1',
    instance: 'entry',
    zone: 'z',
    partitionCount,
    declaredEntries: 1,
  });
  const ledgers = new Map<number, Ledger>();
  let now = 0;
  const handleEvent = (event: WalletEvent) => {
    const queue = [event];
    for (let nextEvent = queue.shift(); nextEvent; nextEvent = queue.shift()) {
      for (const effect of wallet.handle(nextEvent, now)) {
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
  for (let i = 0; i < budgetCount; i++) {
    const budget = `budget-${i}`;
    const partition = partitionIndex(budget, partitionCount);
    const ledger = ledgers.get(partition) ?? emptyLedger();
    topUp(ledger, budget, 'initial', 1_000_000);
    ledgers.set(partition, ledger);
  }
  handleEvent({kind: WalletEventKind.Tick});
  for (let i = 0; i < budgetCount; i++) {
    now += 100;
    const request = `r${i}`;
    const budget = `budget-${i}`;
    handleEvent({kind: WalletEventKind.Reserve, request, budget, tokens: 100});
    handleEvent({kind: WalletEventKind.Release, request});
  }
  return wallet;
}

/** Time to reserve and free tokens; heap bytes of the wallet. */
function measureReservation(budgetCount: number): Omit<DataPoint, 'size'> {
  const bytesBefore = usedHeapBytes();
  const wallet = createWallet(budgetCount, 256);
  const bytes = usedHeapBytes() - bytesBefore;
  let reservation = 0;
  const ns = medianCallNs(() => {
    reservation += 1;
    const request = `t${reservation}`;
    const budget = `budget-${reservation % budgetCount}`;
    const kind = WalletEventKind.Reserve;
    wallet.handle({kind, request, budget, tokens: 10}, 1e9);
    wallet.handle({kind: WalletEventKind.Release, request}, 1e9);
  });
  return {ns, bytes};
}

/** Creates a table of engines, each with a fresh load report. */
function createUpstreamTable(upstreamCount: number): UpstreamTable {
  const table = new UpstreamTable(RoutingPolicy.Estimate, 'entry.1');
  const entries = Array.from({length: upstreamCount}, (_, i) => ({
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

/** Time to choose an upstream; heap bytes of the upstream table. */
function measureRouting(upstreamCount: number): Omit<DataPoint, 'size'> {
  const bytesBefore = usedHeapBytes();
  const table = createUpstreamTable(upstreamCount);
  const bytes = usedHeapBytes() - bytesBefore;
  const view: RoutingView = {
    zone: 'z1',
    now: 100,
    zoneLatency: 0.5,
    instancesPerUpstream: 9,
    cachedUpstream: undefined,
    meanInFlight: 1,
    random: seededRandom(1),
  };
  const excludedUpstreams = new Set<string>();
  const ns = medianCallNs(
    () => table.choose(UpstreamKind.Engine, view, excludedUpstreams),
    200,
  );
  return {ns, bytes};
}

/** Time to pick probe targets and list live peers; bytes of 4 probes. */
function measureProbing(memberCount: number): Omit<DataPoint, 'size'> {
  const membership = new Membership(4);
  const peers = Array.from({length: memberCount}, (_, i) => ({
    address: `10.0.${i >> 8}.${i & 255}:7000`,
    zone: `z${i % 12}`,
  }));
  membership.applyInstanceList(peers, 0);
  for (const {address, zone} of peers) {
    membership.recordMessage(address, zone, `entry-${address}`, 0);
  }
  const random = seededRandom(2);
  const ns = medianCallNs(() => {
    membership.pickProbeTargets(random);
    membership.livePeers(100);
  }, 500);
  const kind = MessageKind.Probe;
  return {ns, bytes: 4 * encodeFrame({kind, generation: 1}).length};
}

/**
 * Creates a ledger partition with `billCount` retained bills. Each holder has a
 * share of one of the budgets.
 */
function createLedger(
  billCount: number,
  budgetCount: number,
  holderCount: number,
): Ledger {
  const ledger = emptyLedger();
  for (let b = 0; b < budgetCount; b++) {
    topUp(ledger, `budget-${b}`, 'initial', 1_000_000);
  }
  for (let h = 0; h < holderCount; h++) {
    applyBatch(ledger, createBatch(`entry-${h}.0a1b2c3d`, 1, []));
    const record = ledger.budgets[`budget-${h % budgetCount}`];
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
  for (let i = 0; i < billCount; i++) {
    const digest = i.toString(16).padStart(16, '0');
    ledger.bills[digest] = {holder: `entry-${i % holderCount}.0a1b2c3d`, at: i};
  }
  return ledger;
}

/** Creates a batch that carries settlements only. */
function createBatch(
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

/** Time to copy a ledger, apply a batch and encode it; bytes when encoded. */
function measureLedgerWrite(ledger: Ledger): Omit<DataPoint, 'size'> {
  const codec = new CborCodec();
  const ns = medianCallNs(() => {
    const updated = structuredClone(ledger);
    applyBatch(updated, createBatch('entry-0.0a1b2c3d', 2, []));
    codec.encode(updated);
  }, 20);
  return {ns, bytes: codec.encode(ledger).length};
}

/** Runs all benchmarks; blocks the event loop until they are done. */
export function runAllBenchmarks(): BenchmarkResult[] {
  return [
    runBenchmark(
      'reserve and free from a local share; bytes of memory',
      'budgets drawn on',
      [100, 1_000, 4_000, 12_000, 36_000],
      measureReservation,
    ),
    runBenchmark(
      'choose an upstream; bytes of memory',
      'upstreams',
      [12, 100, 1_000, 4_300],
      measureRouting,
    ),
    runBenchmark(
      'pick probes and list live peers; bytes of 4 probes',
      'members',
      [3, 9, 30, 100, 410],
      measureProbing,
    ),
    runBenchmark(
      'apply and encode a ledger write; bytes of the value',
      'bills in the window',
      [0, 500, 1_500, 4_000],
      billCount => measureLedgerWrite(createLedger(billCount, 140, 9)),
    ),
    runBenchmark(
      'apply and encode a ledger write; bytes of the value',
      'holders',
      [3, 9, 30, 100, 410],
      holderCount => measureLedgerWrite(createLedger(100, 140, holderCount)),
    ),
  ];
}
