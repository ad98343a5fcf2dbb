/** A whole fleet in one process: stand-ins and entries over loopback. */
import {
  InstanceKind,
  InstanceState,
  KeyValueClient,
} from '@citrontrestle/platform';
import {Group} from '@citrontrestle/stand_ins';
import {Entry} from '@citrontrestle/entry';
import {apply, ApplyOutcome} from '@citrontrestle/operator';
import {SILENT_LOG, SystemClock} from '@citrontrestle/runtime';
import VError from 'verror';
import type {
  BudgetPolicy,
  Declarations,
  Millis,
  RoutingPolicy,
} from '@citrontrestle/decisions';
import type {EntryAddresses, EntrySettings} from '@citrontrestle/entry';
import type {Scenario} from './scenario.js';

const HOST = '127.0.0.1';

/** Ledger partitions of an embedded fleet. */
export const PARTITIONS = 4;

const READY_PATIENCE: Millis = 10_000;
const READY_POLL: Millis = 50;

/** Calls a second of the tool itself. */
const TOOL_CALLS = 200;

/** One entry of an embedded fleet. */
export interface EmbeddedEntry {
  entry: Entry;
  addresses: EntryAddresses;
  zone: string;
  instance: string;
  /** Whether callers may be sent to it. */
  live: boolean;
}

/** Policies of one run. */
export interface Policies {
  budget: BudgetPolicy;
  routing: RoutingPolicy;
}

/** A whole fleet in one process. */
export class EmbeddedFleet {
  readonly group: Group;
  readonly entries: EmbeddedEntry[] = [];
  readonly keyValue: KeyValueClient;

  private constructor(
    private readonly fleet: Scenario['fleet'],
    private readonly policies: Policies,
    group: Group,
  ) {
    this.group = group;
    this.keyValue = new KeyValueClient(
      {
        address: group.address(),
        timeout: 2_000,
        callsPerSecond: TOOL_CALLS,
        burst: TOOL_CALLS,
      },
      new SystemClock(),
    );
  }

  /** Starts the stand-ins, applies the declarations, starts the entries. */
  static async start(
    fleet: Scenario['fleet'],
    declarations: Declarations,
    policies: Policies,
  ): Promise<EmbeddedFleet> {
    const {zones, engines, services, slots, tokenMs} = fleet;
    const group = new Group({
      host: HOST,
      port: 0,
      zones,
      engines,
      services,
      engine: {slots, prefillMs: 0.05, tokenMs, tokensPerEvent: 8},
      service: {slots: 16, callMs: 5},
    });
    await group.start();
    const embedded = new EmbeddedFleet(fleet, policies, group);
    await embedded.configure(declarations);
    for (let i = 0; i < fleet.entries; i++) {
      await embedded.addEntry(i);
    }
    await embedded.ready();
    return embedded;
  }

  /** Puts declarations in force. */
  async configure(declarations: Declarations): Promise<void> {
    const result = await apply(this.keyValue, declarations, 0, PARTITIONS);
    if (result.outcome !== ApplyOutcome.Accepted) {
      throw new VError('declarations not accepted: %s', result.outcome);
    }
  }

  /** Starts one entry and puts it on the instance list. */
  async addEntry(index: number): Promise<void> {
    const zone = this.fleet.zones[index % this.fleet.zones.length] ?? '';
    const instance = `entry-${index}`;
    const settings = this.settings(instance, zone);
    const entry = new Entry(settings, SILENT_LOG, () => undefined);
    const addresses = await entry.start();
    this.entries.push({entry, addresses, zone, instance, live: true});
    this.group.platform.setInstance({
      id: instance,
      kind: InstanceKind.Entry,
      zone,
      address: addresses.fleet,
      state: InstanceState.Live,
    });
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    await Promise.all(this.entries.map(one => one.entry.stop()));
    this.keyValue.close();
    await this.group.stop();
  }

  /** Waits until every entry serves and knows the others. */
  private async ready(): Promise<void> {
    const until = Date.now() + READY_PATIENCE;
    const others = this.fleet.entries - 1;
    const isReady = ({entry}: EmbeddedEntry) => {
      const {ready, peers, upstreams} = entry.status();
      return ready && peers.length === others && upstreams.length > 0;
    };
    while (!this.entries.every(isReady)) {
      if (Date.now() > until) {
        throw new VError('the embedded fleet did not get ready');
      }
      await new Promise(resolve => setTimeout(resolve, READY_POLL));
    }
  }

  private settings(instance: string, zone: string): EntrySettings {
    const address = this.group.address();
    const any = `${HOST}:0`;
    const {callsPerSecond, entries} = this.fleet;
    return {
      instance,
      zone,
      listen: {callers: any, fleet: any, operators: any},
      platform: {
        keyValue: address,
        instances: address,
        timeoutMs: 800,
        callsPerSecond,
        burst: 2 * callsPerSecond,
      },
      fleet: {key: 'embedded-fleet-key', entries, seeds: []},
      operators: {token: 'embedded-operator-token'},
      budget: {
        policy: this.policies.budget,
        partitions: PARTITIONS,
        horizonMs: 180_000,
        cap: 0.008,
        settleMs: 5_000,
      },
      routing: {
        policy: this.policies.routing,
        zoneMs: 0.5,
        reportsPerSecond: 8,
      },
      drainMs: 60_000,
      log: 'error',
    };
  }
}
