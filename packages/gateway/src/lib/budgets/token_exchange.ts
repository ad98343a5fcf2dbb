/** Transfers of prepaid tokens between gateways. */
import {
  MAX_MESH_INSTANCES,
  MIN_PATIENCE,
  randomSample,
  setNewest,
} from '@citrontrestle/decisions';
import {ReservationOutcome} from './prepaid_budgets.js';
import {PeerMessageKind} from '../fleet/peer_message.js';
import type {PrepaidBudgets} from './prepaid_budgets.js';
import type {PeerMessage} from '../fleet/peer_message.js';
import type {PeerNetwork} from '../fleet/peer_network.js';
import type {Clock, Millis} from '@citrontrestle/decisions';
import type {Log} from '@citrontrestle/runtime';

/** A peer's request for tokens of an account. */
type TokenRequest = PeerMessage & {kind: PeerMessageKind.TokenRequest};

/** Maximum number of peers that are asked for the same tokens. */
const MAX_PEERS_ASKED = 16;

/** Maximum time for which a relay lets a follower wait for its answer. */
const MAX_FOLLOWER_WAIT: Millis = 1_000;

/** Maximum age of a reading in a message; higher ones are stated as this. */
const MAX_AGE: Millis = 3_600_000;

/**
 * Minimum time between two requests of a relay to its followers for what they
 * hold unused of an account. Each costs a message to every follower.
 */
const COLLECT_INTERVAL: Millis = 1_000;

/** Number of accounts whose last such request is remembered. */
const MAX_COLLECTED_ACCOUNTS = 4_000;

/**
 * Requests tokens from other gateways and answers their requests. Followers get
 * their tokens from their relay, which takes them from the store. Messages may
 * be lost, so a request may stay unanswered.
 */
export class TokenExchange {
  /** When the followers were last asked for tokens of each account. */
  private readonly collectedAt = new Map<string, Millis>();

  constructor(
    private readonly budgets: PrepaidBudgets,
    private readonly peerNetwork: PeerNetwork,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /**
   * Asks peers for tokens: a relay asks the other relays and its followers, and
   * any other instance asks a random selection of the live ones. Fractions are
   * rounded up.
   */
  requestFromPeers(account: string, tokens: number): void {
    const {peerNetwork} = this;
    const kind = PeerMessageKind.TokenRequest;
    const {followers, meshPeers} = peerNetwork.partners();
    const isRelay = followers.length > 0;
    this.collectFromFollowers(account, tokens);
    const recipients = isRelay
      ? meshPeers
      : randomSample(peerNetwork.livePeers(), MAX_PEERS_ASKED, Math.random);
    const drawer = Math.floor(Math.random() * recipients.length);
    for (const [index, address] of recipients.entries()) {
      const wholeTokens = Math.ceil(tokens);
      // Only one of them takes tokens from the store, if it can reach it. It is
      // chosen at random, because some are at their ceilings.
      const draw = index === drawer;
      peerNetwork.send(address, {
        kind,
        account,
        tokens: wholeTokens,
        ahead: 0,
        draw,
      });
    }
  }

  /**
   * Returns how many instances take tokens from the store, including this one.
   * In a fleet with relays, only the relays do.
   */
  drawingInstanceCount(): number {
    const {followers, meshPeers} = this.peerNetwork.partners();
    return followers.length > 0
      ? 1 + meshPeers.length
      : this.peerNetwork.instanceCount();
  }

  /**
   * Returns how many instances take tokens from the store once each follower has
   * a relay: all of a small fleet, and one of each zone of a large one. An
   * instance that has lost its relay, or is to become one, counts like a relay.
   */
  supplierCount(): number {
    const drawing = this.drawingInstanceCount();
    if (drawing <= MAX_MESH_INSTANCES) {
      return drawing;
    }
    const {members} = this.peerNetwork.fleetView();
    return new Set(members.map(({zone}) => zone)).size;
  }

  /**
   * Asks the relay for tokens. Fractions are rounded up.
   * @param options.prefetch further tokens that are wanted for later requests.
   * @param options.wait time within which the relay is to answer.
   * @param options.ask identifies the question in a refusal.
   * @returns whether there is a responsive relay to ask.
   */
  requestFromRelay(
    account: string,
    tokens: number,
    {prefetch, wait, ask}: {prefetch: number; wait: Millis; ask: number},
  ): boolean {
    const {peerNetwork} = this;
    const relay = peerNetwork.responsiveRelay();
    if (relay === undefined) {
      return false;
    }
    peerNetwork.send(relay, {
      kind: PeerMessageKind.TokenRequest,
      account,
      tokens: Math.ceil(tokens),
      ahead: Math.ceil(prefetch),
      draw: true,
      wait,
      ask,
    });
    return true;
  }

  /**
   * Sends tokens back to the relay.
   * @returns whether there is a responsive relay; otherwise nothing is sent.
   */
  returnToRelay(account: string, tokens: number): boolean {
    const {peerNetwork} = this;
    const relay = peerNetwork.responsiveRelay();
    if (relay === undefined) {
      return false;
    }
    peerNetwork.send(relay, {
      kind: PeerMessageKind.TokenTransfer,
      account,
      tokens,
    });
    return true;
  }

  /**
   * Sends tokens to a random peer that is not stopping.
   * @returns whether there is such a peer; otherwise nothing is sent.
   */
  giveToRandomPeer(account: string, tokens: number): boolean {
    const {peerNetwork} = this;
    const candidates = peerNetwork.availablePeers();
    const recipient = candidates[Math.floor(Math.random() * candidates.length)];
    if (recipient === undefined) {
      return false;
    }
    peerNetwork.send(recipient, {
      kind: PeerMessageKind.TokenTransfer,
      account,
      tokens,
    });
    return true;
  }

  /**
   * Answers a request for tokens. A peer that does not follow this instance
   * gets what this instance can spare. If that is too little, `draw` is set and
   * the store is reachable, tokens are taken from the store as well.
   */
  handleRequest(requester: string, request: TokenRequest): void {
    const {budgets, peerNetwork} = this;
    const {account, tokens, draw} = request;
    if (peerNetwork.partners().followers.includes(requester)) {
      void this.supplyFollower(requester, request);
      return;
    }
    const given = budgets.giveToPeer(account, tokens);
    if (given > 0) {
      this.sendTokens(requester, account, given);
    }
    if (given < tokens) {
      this.collectFromFollowers(account, tokens - given);
    }
    // What can't be taken now is not waited for, as it would be held back here.
    const takeable = Math.floor(budgets.takeableTokens(account));
    const drawn = Math.min(tokens - given, takeable);
    if (draw && drawn > 0 && budgets.reachesStore(account)) {
      void this.supplyFromStore(requester, account, drawn);
    }
  }

  /**
   * Asks all followers for tokens that they hold unused, unless they were just
   * asked. What they send is kept here until somebody asks for it.
   */
  private collectFromFollowers(account: string, tokens: number): void {
    const now = this.clock.now();
    const collectedAt = this.collectedAt.get(account) ?? -Infinity;
    const {followers} = this.peerNetwork.partners();
    if (followers.length === 0 || now - collectedAt < COLLECT_INTERVAL) {
      return;
    }
    setNewest(this.collectedAt, account, now, MAX_COLLECTED_ACCOUNTS);
    for (const follower of followers) {
      this.peerNetwork.send(follower, {
        kind: PeerMessageKind.TokenRequest,
        account,
        tokens: Math.ceil(tokens),
        ahead: 0,
        draw: false,
      });
    }
  }

  /** Takes tokens from the store for an instance that can't reach it. */
  private async supplyFromStore(
    requester: string,
    account: string,
    tokens: number,
  ): Promise<void> {
    const mayAskPeers = false;
    const {given} = await this.budgets.supply(account, tokens, {
      prefetch: 0,
      mayAskPeers,
    });
    if (given > 0) {
      this.sendTokens(requester, account, given);
    }
  }

  /** Sends a follower the tokens that it requested, or a refusal. */
  private async supplyFollower(
    follower: string,
    {account, tokens, ahead, wait = MIN_PATIENCE, ask}: TokenRequest,
  ): Promise<void> {
    const {budgets, peerNetwork} = this;
    const supplied = await budgets.supply(account, tokens, {
      prefetch: ahead,
      mayAskPeers: true,
      patience: Math.min(wait, MAX_FOLLOWER_WAIT),
    });
    if (supplied.given > 0) {
      this.sendTokens(follower, account, supplied.given);
    }
    if (supplied.outcome !== ReservationOutcome.Reserved) {
      const exhausted = supplied.outcome === ReservationOutcome.Exhausted;
      const kind = PeerMessageKind.TokenRefusal;
      const age = Math.round(Math.min(budgets.readingAge(account), MAX_AGE));
      const granted = Math.floor(budgets.grantedTokens(account));
      peerNetwork.send(follower, {
        kind,
        account,
        tokens,
        exhausted,
        age,
        granted,
        ask,
        countsSilent: true,
      });
    }
  }

  private sendTokens(recipient: string, account: string, tokens: number): void {
    const {peerNetwork, log} = this;
    peerNetwork.send(recipient, {
      kind: PeerMessageKind.TokenTransfer,
      account,
      tokens,
    });
    log.info('budget.given', {account, tokens, peer: recipient});
  }
}
