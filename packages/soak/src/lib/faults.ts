/** Injects the planned faults into a fleet, from outside its processes. */
import {FaultContext} from './faults/context.js';
import {GatewayFaults} from './faults/gateway_faults.js';
import {OperatorChanges} from './faults/operator_changes.js';
import {UpstreamFaults} from './faults/upstream_faults.js';
import type {Fault, FaultKind} from './plan.js';
import type {Account, FaultHandlers, FaultRecord} from './faults/context.js';
import type {HostedFleet} from '@citrontrestle/stand_ins';

/** Injects the faults of one run and records them. */
export class FaultInjector {
  readonly record: FaultRecord;
  readonly upstreams: UpstreamFaults;
  readonly operator: OperatorChanges;
  private readonly handlers: FaultHandlers<FaultKind>;

  constructor(fleet: HostedFleet, accounts: Account[], random: () => number) {
    const context = new FaultContext(fleet, accounts, random);
    this.record = context.record;
    this.upstreams = new UpstreamFaults(context);
    this.operator = new OperatorChanges(context);
    this.handlers = {
      ...new GatewayFaults(context).handlers,
      ...this.upstreams.handlers,
      ...this.operator.handlers,
    };
  }

  /** Injects a fault; resolves when it is over. */
  async inject(fault: Fault): Promise<void> {
    await this.handlers[fault.kind](fault);
  }
}
