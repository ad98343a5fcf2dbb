/** Faults of links. */
import {RelayMode} from '@citrontrestle/stand_ins';

/** Modes of a link that count as a fault. */
export const LINK_FAULT_MODES = [
  RelayMode.Silent,
  RelayMode.SilentToTarget,
  RelayMode.SilentFromTarget,
  RelayMode.Delayed,
];
