/** Carries out the faults of a scenario on an embedded fleet. */
import {raise} from '@citrontrestle/operator';
import {FaultKind} from './scenario.js';
import {PARTITIONS} from './embedded_fleet.js';
import type {EmbeddedEntry, EmbeddedFleet} from './embedded_fleet.js';
import type {Fault} from './scenario.js';
import type {UpstreamFaults, UpstreamStandIn} from '@citrontrestle/stand_ins';

/** Undoes a fault. */
type Undo = () => void;

type Starter = (fleet: EmbeddedFleet, fault: Fault) => Undo;

const NOTHING: Undo = () => undefined;

function entryOf(fleet: EmbeddedFleet, fault: Fault): EmbeddedEntry {
  return fleet.entries[fault.target] as EmbeddedEntry;
}

function upstreamOf(fleet: EmbeddedFleet, fault: Fault): UpstreamStandIn {
  return [...fleet.group.upstreams.values()][fault.target] as UpstreamStandIn;
}

function upstreamFault(
  set: (fault: Fault) => UpstreamFaults,
  unset: UpstreamFaults,
): Starter {
  return (fleet, fault) => {
    const upstream = upstreamOf(fleet, fault);
    upstream.setFaults(set(fault));
    return () => upstream.setFaults(unset);
  };
}

/** Grants made by top-ups, in tokens by budget. */
export type TopUps = Map<string, number>;

function starters(topUps: TopUps): Record<FaultKind, Starter> {
  return {
    [FaultKind.KeyValueDown]: ({group}) => {
      group.platform.setFaults({down: true});
      return () => group.platform.setFaults({down: false});
    },
    [FaultKind.KeyValueSlow]: ({group}, {value}) => {
      group.platform.setFaults({delayMs: value});
      return () => group.platform.setFaults({delayMs: 0});
    },
    [FaultKind.LostAnswers]: ({group}, {value}) => {
      group.platform.setFaults({lostAnswers: value});
      return NOTHING;
    },
    [FaultKind.EntryKilled]: (fleet, fault) => {
      const one = entryOf(fleet, fault);
      one.live = false;
      void one.entry.stop();
      return NOTHING;
    },
    [FaultKind.EntryDrained]: (fleet, fault) => {
      const one = entryOf(fleet, fault);
      one.live = false;
      void one.entry.drain();
      return NOTHING;
    },
    [FaultKind.UpstreamDown]: upstreamFault(() => ({down: true}), {
      down: false,
    }),
    [FaultKind.UpstreamSlow]: upstreamFault(({value}) => ({slow: value}), {
      slow: 1,
    }),
    [FaultKind.UpstreamLeaving]: upstreamFault(() => ({leaving: true}), {
      leaving: false,
    }),
    [FaultKind.CutStreams]: upstreamFault(({value}) => ({cuts: value}), {}),
    [FaultKind.WrongIds]: upstreamFault(({value}) => ({wrongIds: value}), {}),
    [FaultKind.TopUp]: ({keyValue}, {budget, value, atMs}) => {
      const id = `top-up-${atMs}`;
      topUps.set(budget, (topUps.get(budget) ?? 0) + value);
      void raise(keyValue, budget, id, value, PARTITIONS);
      return NOTHING;
    },
  };
}

/** Starts each fault at its time; returns a call that stops what waits. */
export function scheduleFaults(
  fleet: EmbeddedFleet,
  faults: Fault[],
  topUps: TopUps,
): () => void {
  const table = starters(topUps);
  const timers: NodeJS.Timeout[] = [];
  for (const fault of faults) {
    const start = () => {
      const undo = table[fault.kind](fleet, fault);
      if (fault.forMs > 0) {
        timers.push(setTimeout(undo, fault.forMs));
      }
    };
    timers.push(setTimeout(start, fault.atMs));
  }
  return () => timers.forEach(timer => clearTimeout(timer));
}
