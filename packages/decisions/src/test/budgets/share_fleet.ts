/**
 * A small fleet whose instances share one prepaid budget through a store that
 * answers at once or never. For tests of the sizes of shares.
 */
import {emptyPage, totalTaken} from '../../lib/budgets/prepaid_page.js';
import {ManualClock, ManualMachineClock} from '../../lib/base/clock.js';
import {PrepaidShares} from '../../lib/budgets/prepaid_shares.js';
import {SHARE_POLICY} from '../../lib/budgets/share_policy.js';
import {HeardTimes, Witnesses} from '../../lib/budgets/witnesses.js';
import type {Millis} from '../../lib/base/clock.js';
import type {PrepaidPage} from '../../lib/budgets/prepaid_page.js';
import type {StorePosition} from '../../lib/fleet/store_position.js';
import type {ShareView} from '../../lib/budgets/prepaid_shares.js';

/** The only account of the fleet. */
export const ACCOUNT = 'club';

/** Number of instances of the fleet. */
export const INSTANCES = 8;

/** Tokens of each request. */
export const REQUEST_TOKENS = 10_000;

const SECOND = 1_000;

/** Number of times per second that the instances check their shares. */
const TICKS_PER_SECOND = 4;

/** Number of availability zones, in which the instances lie in turn. */
const ZONES = 4;

/** A process of an instance towards its peers. */
interface PeerProcess {
  holder: string;
  zone: string;
  heardTimes: HeardTimes;
  witnesses: Witnesses;
}

/** Instances with one budget, and a store that answers at once or never. */
export class ShareFleet {
  readonly instanceShares: PrepaidShares[] = [];
  page: PrepaidPage = emptyPage();
  storeAvailable = true;
  served = 0;
  refused = 0;
  private revision = 1;
  private readonly clock = new ManualClock();
  private readonly machineClocks = Array.from(
    {length: INSTANCES},
    () => new ManualMachineClock(this.clock),
  );
  private readonly processes: PeerProcess[] = [];
  private processCount = 0;

  constructor(private granted: number) {
    for (let index = 0; index < INSTANCES; index++) {
      this.instanceShares.push(this.startProcess(index));
    }
    this.sendHeartbeats();
    this.writeShares();
  }

  /** Grants more tokens. */
  topUp(tokens: number): void {
    this.granted += tokens;
  }

  /** Sends requests to the first `instances` instances in turn. */
  run(seconds: number, perSecond: number, instances = INSTANCES): void {
    for (let tick = 0; tick < seconds * TICKS_PER_SECOND; tick++) {
      this.clock.advance(SECOND / TICKS_PER_SECOND);
      this.sendHeartbeats();
      this.instanceShares.forEach(share => share.sampleRates(this.clock.now()));
      for (let count = 0; count < perSecond / TICKS_PER_SECOND; count++) {
        this.request((tick + count) % instances);
      }
      this.writeShares();
    }
  }

  /**
   * Ends processes abruptly; the next ones on their machines start at once.
   * @param powerLoss whether the machines restart as well.
   */
  kill(indexes: readonly number[], powerLoss: boolean): void {
    for (const index of indexes) {
      if (powerLoss) {
        this.machineClocks[index]?.restart(0);
      }
      this.instanceShares[index] = this.startProcess(index);
    }
  }

  /** Lets each instance read the page and write it once. */
  writeShares(): void {
    for (const share of this.storeAvailable ? this.instanceShares : []) {
      share.recordPage(this.position(), this.page);
      const write = share.planWrite([ACCOUNT], this.view());
      if (write !== undefined) {
        this.revision += 1;
        this.page = write.page;
        share.recordPage(this.position(), write.page);
      }
    }
  }

  /** Returns the taken tokens that no request has used and no instance holds. */
  lostTokens(): number {
    const {era} = this.position();
    const held = this.instanceShares.map(share => share.heldTokens(ACCOUNT));
    const accounted = held.reduce(
      (sum, tokens) => sum + tokens,
      this.served * REQUEST_TOKENS,
    );
    return totalTaken(this.page, ACCOUNT, era) - accounted;
  }

  private position(): StorePosition {
    return {era: 0, revision: this.revision};
  }

  /** Lets each instance hear the others, and tell them what it has heard. */
  private sendHeartbeats(): void {
    for (const [index, {holder}] of this.processes.entries()) {
      const time = this.monotonicTime(index);
      for (const {heardTimes} of this.processes) {
        heardTimes.record(`i${index}`, {holder, time});
      }
    }
    for (const [index, {witnesses, holder}] of this.processes.entries()) {
      const now = this.monotonicTime(index);
      for (const peer of this.processes) {
        if (peer.holder !== holder) {
          const heard = peer.heardTimes.of(`i${index}`);
          witnesses.recordStatement(peer, heard, now);
        }
      }
    }
  }

  private monotonicTime(index: number): Millis {
    return this.machineClocks[index]?.machineTime().monotonic ?? 0;
  }

  private startProcess(index: number): PrepaidShares {
    this.processCount += 1;
    const holder = `i${index}.${this.processCount}`;
    const zone = `z${index % ZONES}`;
    const witnesses = new Witnesses({holder, zone});
    const heardTimes = new HeardTimes();
    this.processes[index] = {holder, zone, heardTimes, witnesses};
    const shares = new PrepaidShares({
      ...SHARE_POLICY,
      holder,
      instance: `i${index}`,
      clock: this.machineClocks[index] as ManualMachineClock,
      witnesses,
      storeEra: () => 0,
    });
    shares.recordPredecessorsEnded();
    shares.recordPage(this.position(), this.page);
    return shares;
  }

  private request(instance: number): void {
    const share = this.instanceShares[instance];
    const peers = this.instanceShares.filter(other => other !== share);
    let reserved = share?.reserve(ACCOUNT, REQUEST_TOKENS) ?? false;
    for (const peer of peers) {
      if (!reserved) {
        share?.receiveFromPeer(
          ACCOUNT,
          peer.giveToPeer(ACCOUNT, REQUEST_TOKENS),
        );
        reserved = share?.reserve(ACCOUNT, REQUEST_TOKENS) ?? false;
      }
    }
    if (reserved) {
      share?.settle(ACCOUNT, REQUEST_TOKENS, REQUEST_TOKENS);
      this.served += 1;
    } else {
      this.refused += 1;
    }
  }

  /** Returns the state of the fleet as each instance knows it. */
  view(): ShareView {
    return {
      now: this.clock.now(),
      instances: INSTANCES,
      granted: () => this.granted,
    };
  }
}
