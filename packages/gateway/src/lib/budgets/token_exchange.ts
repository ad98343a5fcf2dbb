/** Transfers of prepaid tokens between gateways. */
import {randomSample} from '@citrontrestle/decisions';
import {ReservationOutcome} from './prepaid_budgets.js';
import {PeerMessageKind} from '../fleet/peer_message.js';
import type {PrepaidBudgets} from './prepaid_budgets.js';
import type {PeerMessage} from '../fleet/peer_message.js';
import type {PeerNetwork} from '../fleet/peer_network.js';
import type {Log} from '@citrontrestle/runtime';

/** A peer's request for tokens of an account. */
type TokenRequest = PeerMessage & {kind: PeerMessageKind.TokenRequest};

/** Maximum number of peers that are asked for the same tokens. */
const MAX_PEERS_ASKED = 16;

/**
 * Requests tokens from other gateways and answers their requests. Followers get
 * their tokens from their relay, which takes them from the store. Messages may
 * be lost, so a request may stay unanswered.
 */
export class TokenExchange {
  constructor(
    private readonly budgets: PrepaidBudgets,
    private readonly peerNetwork: PeerNetwork,
    private readonly log: Log,
  ) {}

  /**
   * Asks peers for tokens: a relay asks the other relays if it knows any, and
   * any other instance asks a random selection of the live ones. Fractions are
   * rounded up.
   */
  requestFromPeers(account: string, tokens: number): void {
    const {peerNetwork} = this;
    const kind = PeerMessageKind.TokenRequest;
    const {followers, meshPeers} = peerNetwork.partners();
    const isRelayWithMesh = followers.length > 0 && meshPeers.length > 0;
    const recipients = isRelayWithMesh
      ? meshPeers
      : randomSample(peerNetwork.livePeers(), MAX_PEERS_ASKED, Math.random);
    for (const [index, address] of recipients.entries()) {
      const wholeTokens = Math.ceil(tokens);
      // Only one of them takes tokens from the store, if it can reach it.
      const draw = index === 0;
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
   * Asks the relay for tokens. Fractions are rounded up.
   * @param prefetch further tokens that are wanted for later requests.
   * @returns whether there is a responsive relay to ask.
   */
  requestFromRelay(account: string, tokens: number, prefetch: number): boolean {
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
  handleRequest(
    requester: string,
    {account, tokens, ahead, draw}: TokenRequest,
  ): void {
    const {budgets, peerNetwork} = this;
    if (peerNetwork.partners().followers.includes(requester)) {
      void this.supplyFollower(requester, account, tokens, ahead);
      return;
    }
    const given = budgets.giveToPeer(account, tokens);
    if (given > 0) {
      this.sendTokens(requester, account, given);
    }
    if (draw && given < tokens && budgets.reachesStore(account)) {
      void this.supplyFromStore(requester, account, tokens - given);
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
    account: string,
    tokens: number,
    prefetch: number,
  ): Promise<void> {
    const {budgets, peerNetwork} = this;
    const mayAskPeers = true;
    const supplied = await budgets.supply(account, tokens, {
      prefetch,
      mayAskPeers,
    });
    if (supplied.given > 0) {
      this.sendTokens(follower, account, supplied.given);
    }
    if (supplied.outcome !== ReservationOutcome.Reserved) {
      const exhausted = supplied.outcome === ReservationOutcome.Exhausted;
      const kind = PeerMessageKind.TokenRefusal;
      peerNetwork.send(follower, {kind, account, tokens, exhausted});
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
