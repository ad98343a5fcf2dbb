/** The faults of one run, drawn from a seed. */
import {seededRandom} from '@citrontrestle/runtime';
import type {Millis} from '@citrontrestle/decisions';

/** Kinds of faults and of planned changes. */
export enum FaultKind {
  /** SIGTERM, and a new process once it has ended. */
  Stop = 'stop',
  /** SIGKILL, and a new process. */
  Kill = 'kill',
  KillAll = 'kill-all',
  /** SIGSTOP, then SIGCONT. */
  Freeze = 'freeze',
  Reload = 'reload',
  /** The store treats one instance badly. */
  StoreFault = 'store-fault',
  /** The store treats all instances badly. */
  StoreOutage = 'store-outage',
  Compaction = 'compaction',
  /** An upstream answers badly. */
  UpstreamFault = 'upstream-fault',
  UpstreamCrash = 'upstream-crash',
  /** An upstream leaves, another one comes. */
  UpstreamLeave = 'upstream-leave',
  /** The way to an upstream is silent, one-way or late. */
  UpstreamLink = 'upstream-link',
  /** The way to an instance is silent, one-way or late. */
  PeerLink = 'peer-link',
  ResetConnections = 'reset-connections',
  TopUp = 'top-up',
  /** A key is taken away, another one is added. */
  ChangeKey = 'change-key',
}

/** One fault. */
export interface Fault {
  kind: FaultKind;
  /** When it begins, from the start of the load. */
  at: Millis;
  /** How long it lasts, where it ends by itself. */
  span: Millis;
  /** Picks what it concerns and how, in [0, 1). */
  pick: number;
  variant: number;
}

/** One run. */
export interface Plan {
  seed: number;
  gateways: number;
  /** Tokens granted to each account at first. */
  granted: number;
  /** Requests a second. */
  rate: number;
  span: Millis;
  faults: Fault[];
}

/** Time of the load of one run. */
const SPAN: Millis = 8_000;

/** Time without new faults at the start of the load. */
const CALM: Millis = 300;

/** Fewest and most faults of a run. */
const FAULTS = {least: 4, most: 12};

/** Fewest and most instances; a few runs are too large for a mesh. */
const GATEWAYS = {least: 2, most: 5, large: 18, largeOneIn: 12};

/** Tokens granted at first: enough for few requests, or for many. */
const GRANTS = [2_000, 8_000, 200_000];

/** Requests a second. */
const RATES = {least: 20, most: 60};

/** Shortest and longest fault that ends by itself. */
const SPANS = {least: 200, most: 3_000};

/** Draws a run. */
export function planRun(seed: number): Plan {
  const part = seededRandom(seed);
  const draw = (least: number, most: number) =>
    least + Math.floor(part() * (most - least + 1));
  const {least, most, large, largeOneIn} = GATEWAYS;
  const isLarge = draw(1, largeOneIn) === 1;
  const kinds = Object.values(FaultKind);
  const count = draw(FAULTS.least, FAULTS.most);
  const faults: Fault[] = Array.from({length: count}, () => ({
    kind: kinds[draw(0, kinds.length - 1)] ?? FaultKind.Kill,
    at: draw(CALM, SPAN - CALM),
    span: draw(SPANS.least, SPANS.most),
    pick: part(),
    variant: part(),
  }));
  faults.sort((a, b) => a.at - b.at);
  return {
    seed,
    gateways: isLarge ? large : draw(least, most),
    granted: GRANTS[draw(0, GRANTS.length - 1)] ?? 0,
    rate: draw(RATES.least, RATES.most),
    span: SPAN,
    faults,
  };
}
