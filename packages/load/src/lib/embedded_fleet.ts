/** Runs stand-ins and entries in one process, connected over loopback. */
import {
  InstanceKind,
  InstanceState,
  KeyValueClient,
} from '@citrontrestle/platform';
import {StandInGroup} from '@citrontrestle/stand_ins';
import {Entry} from '@citrontrestle/entry';
import {applyDeclarations, ApplyOutcome} from '@citrontrestle/operator';
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

/** Number of ledger partitions of an embedded fleet. */
export const PARTITION_COUNT = 4;

const READY_TIMEOUT: Millis = 10_000;
const READY_POLL_INTERVAL: Millis = 50;

/** Rate limit of the load tool's own key-value calls. */
const TOOL_CALLS_PER_SECOND = 200;

/** An entry of an embedded fleet. */
export interface EmbeddedEntry {
  entry: Entry;
  addresses: EntryAddresses;
  zone: string;
  instance: string;
  /** Whether requests may be sent to it; false once killed or drained. */
  isLive: boolean;
}

/** Policies that a run uses. */
export interface Policies {
  budget: BudgetPolicy;
  routing: RoutingPolicy;
}

/** Stand-ins and entries in one process. */
export class EmbeddedFleet {
  readonly standIns: StandInGroup;
  readonly entries: EmbeddedEntry[] = [];
  readonly keyValue: KeyValueClient;

  private constructor(
    private readonly fleetSettings: Scenario['fleet'],
    private readonly policies: Policies,
    standIns: StandInGroup,
  ) {
    this.standIns = standIns;
    this.keyValue = new KeyValueClient(
      {
        address: standIns.platformAddress(),
        timeout: 2_000,
        callsPerSecond: TOOL_CALLS_PER_SECOND,
        burst: TOOL_CALLS_PER_SECOND,
      },
      new SystemClock(),
    );
  }

  /**
   * Starts the stand-ins, applies the declarations and starts the entries.
   * Resolves when all entries are ready; rejects if that takes too long.
   */
  static async start(
    fleetSettings: Scenario['fleet'],
    declarations: Declarations,
    policies: Policies,
  ): Promise<EmbeddedFleet> {
    const {zones, engines, services, slots, tokenMs} = fleetSettings;
    const standIns = new StandInGroup({
      host: HOST,
      port: 0,
      zones,
      engines,
      services,
      engine: {slots, prefillMs: 0.05, tokenMs, tokensPerEvent: 8},
      service: {slots: 16, callMs: 5},
    });
    await standIns.start();
    const fleet = new EmbeddedFleet(fleetSettings, policies, standIns);
    await fleet.applyDeclarations(declarations);
    for (let i = 0; i < fleetSettings.entries; i++) {
      await fleet.addEntry(i);
    }
    await fleet.waitUntilReady();
    return fleet;
  }

  /** Applies the first declarations; throws if they are not accepted. */
  async applyDeclarations(declarations: Declarations): Promise<void> {
    const result = await applyDeclarations(
      this.keyValue,
      declarations,
      0,
      PARTITION_COUNT,
    );
    if (result.outcome !== ApplyOutcome.Accepted) {
      throw new VError(
        'the declarations were not accepted: %s',
        result.outcome,
      );
    }
  }

  /** Starts an entry and adds it to the platform's instance list. */
  async addEntry(index: number): Promise<void> {
    const zone =
      this.fleetSettings.zones[index % this.fleetSettings.zones.length] ?? '';
    const instance = `entry-${index}`;
    const settings = this.createEntrySettings(instance, zone);
    const entry = new Entry(settings, SILENT_LOG, () => undefined);
    const addresses = await entry.start();
    this.entries.push({entry, addresses, zone, instance, isLive: true});
    this.standIns.platform.setInstance({
      id: instance,
      kind: InstanceKind.Entry,
      zone,
      address: addresses.fleet,
      state: InstanceState.Live,
    });
  }

  /** Stops the entries, then the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(
      this.entries.map(embeddedEntry => embeddedEntry.entry.stop()),
    );
    this.keyValue.close();
    await this.standIns.stop();
  }

  /** Waits until each entry is ready and knows all peers and an upstream. */
  private async waitUntilReady(): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT;
    const peerCount = this.fleetSettings.entries - 1;
    const isReady = ({entry}: EmbeddedEntry) => {
      const {ready, peers, upstreams} = entry.status();
      return ready && peers.length === peerCount && upstreams.length > 0;
    };
    while (!this.entries.every(isReady)) {
      if (Date.now() > deadline) {
        throw new VError('the embedded fleet did not become ready in time');
      }
      await new Promise(resolve => setTimeout(resolve, READY_POLL_INTERVAL));
    }
  }

  private createEntrySettings(instance: string, zone: string): EntrySettings {
    const platformAddress = this.standIns.platformAddress();
    const anyPort = `${HOST}:0`;
    const {callsPerSecond, entries} = this.fleetSettings;
    return {
      instance,
      zone,
      listen: {callers: anyPort, fleet: anyPort, operators: anyPort},
      platform: {
        keyValue: platformAddress,
        instances: platformAddress,
        timeoutMs: 800,
        callsPerSecond,
        burst: 2 * callsPerSecond,
      },
      fleet: {key: 'embedded-fleet-key', entries, seeds: []},
      operators: {token: 'embedded-operator-token'},
      budget: {
        policy: this.policies.budget,
        partitions: PARTITION_COUNT,
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
