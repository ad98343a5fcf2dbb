/** Injects the faults of a scenario into an embedded fleet. */
import {topUpBudget} from '@citrontrestle/operator';
import {FaultKind} from './scenario.js';
import {PARTITION_COUNT} from './embedded_fleet.js';
import type {EmbeddedEntry, EmbeddedFleet} from './embedded_fleet.js';
import type {Fault} from './scenario.js';
import type {UpstreamFaults, UpstreamStandIn} from '@citrontrestle/stand_ins';

/** Ends a fault. */
type Undo = () => void;

/** Starts a fault; returns the function that ends it. */
type FaultStarter = (fleet: EmbeddedFleet, fault: Fault) => Undo;

/** For faults that can not be ended. */
const NO_UNDO: Undo = () => undefined;

function targetEntry(fleet: EmbeddedFleet, fault: Fault): EmbeddedEntry {
  return fleet.entries[fault.target] as EmbeddedEntry;
}

function targetUpstream(fleet: EmbeddedFleet, fault: Fault): UpstreamStandIn {
  return [...fleet.standIns.upstreams.values()][
    fault.target
  ] as UpstreamStandIn;
}

/** Creates the starter of a fault that is set on one upstream. */
function createUpstreamFaultStarter(
  createFaults: (fault: Fault) => UpstreamFaults,
  clearedFaults: UpstreamFaults,
): FaultStarter {
  return (fleet, fault) => {
    const upstream = targetUpstream(fleet, fault);
    upstream.setFaults(createFaults(fault));
    return () => upstream.setFaults(clearedFaults);
  };
}

/** Tokens granted by top-ups, by budget. */
export type TopUpTotals = Map<string, number>;

function createFaultStarters(
  topUpTotals: TopUpTotals,
): Record<FaultKind, FaultStarter> {
  return {
    [FaultKind.KeyValueDown]: ({standIns}) => {
      standIns.platform.setFaults({down: true});
      return () => standIns.platform.setFaults({down: false});
    },
    [FaultKind.KeyValueSlow]: ({standIns}, {value}) => {
      standIns.platform.setFaults({delayMs: value});
      return () => standIns.platform.setFaults({delayMs: 0});
    },
    [FaultKind.LostAnswers]: ({standIns}, {value}) => {
      standIns.platform.setFaults({lostAnswers: value});
      return NO_UNDO;
    },
    [FaultKind.EntryKilled]: (fleet, fault) => {
      const target = targetEntry(fleet, fault);
      target.isLive = false;
      void target.entry.stop();
      return NO_UNDO;
    },
    [FaultKind.EntryDrained]: (fleet, fault) => {
      const target = targetEntry(fleet, fault);
      target.isLive = false;
      void target.entry.drain();
      return NO_UNDO;
    },
    [FaultKind.UpstreamDown]: createUpstreamFaultStarter(() => ({down: true}), {
      down: false,
    }),
    [FaultKind.UpstreamSlow]: createUpstreamFaultStarter(
      ({value}) => ({slow: value}),
      {slow: 1},
    ),
    [FaultKind.UpstreamLeaving]: createUpstreamFaultStarter(
      () => ({leaving: true}),
      {leaving: false},
    ),
    [FaultKind.CutStreams]: createUpstreamFaultStarter(
      ({value}) => ({cuts: value}),
      {},
    ),
    [FaultKind.WrongIds]: createUpstreamFaultStarter(
      ({value}) => ({wrongIds: value}),
      {},
    ),
    [FaultKind.TopUp]: ({keyValue}, {budget, value, atMs}) => {
      const id = `top-up-${atMs}`;
      topUpTotals.set(budget, (topUpTotals.get(budget) ?? 0) + value);
      void topUpBudget(keyValue, budget, id, value, PARTITION_COUNT);
      return NO_UNDO;
    },
  };
}

/**
 * Starts each fault at its time and ends it after its duration. Returns a
 * function that cancels the starts and ends that are still pending.
 */
export function scheduleFaults(
  fleet: EmbeddedFleet,
  faults: Fault[],
  topUpTotals: TopUpTotals,
): () => void {
  const starters = createFaultStarters(topUpTotals);
  const timers: NodeJS.Timeout[] = [];
  for (const fault of faults) {
    const start = () => {
      const undo = starters[fault.kind](fleet, fault);
      if (fault.forMs > 0) {
        timers.push(setTimeout(undo, fault.forMs));
      }
    };
    timers.push(setTimeout(start, fault.atMs));
  }
  return () => timers.forEach(timer => clearTimeout(timer));
}
