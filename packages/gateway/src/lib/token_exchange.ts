/** Tokens that the gateways ask of each other and give. */
import {ReservationOutcome} from './prepaid_budgets.js';
import {PeerMessageKind} from './peer_message.js';
import type {PrepaidBudgets} from './prepaid_budgets.js';
import type {PeerMessage} from './peer_message.js';
import type {PeerNetwork} from './peer_network.js';
import type {Log} from '@citrontrestle/runtime';

/** What a peer asks for. */
type TokenRequest = PeerMessage & {kind: PeerMessageKind.TokenRequest};

/** Peers that are asked for tokens at once, at most. */
const MAX_PEERS_ASKED = 16;

/** The exchange of tokens of one gateway. */
export class TokenExchange {
  constructor(
    private readonly budgets: PrepaidBudgets,
    private readonly peers: PeerNetwork,
    private readonly log: Log,
  ) {}

  /** Asks some peers for tokens. */
  requestFromPeers(account: string, tokens: number): void {
    const {peers} = this;
    const kind = PeerMessageKind.TokenRequest;
    const {followers, meshPeers} = peers.partners();
    const isRelayWithMesh = followers.length > 0 && meshPeers.length > 0;
    const recipients = isRelayWithMesh
      ? meshPeers
      : randomSample(peers.liveAddresses(), MAX_PEERS_ASKED);
    for (const [index, address] of recipients.entries()) {
      const wholeTokens = Math.ceil(tokens);
      // One of them draws on the store, if it reaches it.
      const draw = index === 0;
      peers.send(address, {kind, account, tokens: wholeTokens, ahead: 0, draw});
    }
  }

  /** Instances that draw on the budgets in the store, with this one. */
  drawingInstanceCount(): number {
    const {followers, meshPeers} = this.peers.partners();
    return followers.length > 0
      ? 1 + meshPeers.length
      : this.peers.instanceCount();
  }

  /** Asks the relay for tokens; false without a relay. */
  requestFromRelay(account: string, tokens: number, prefetch: number): boolean {
    const {peers} = this;
    const relay = peers.responsiveRelay();
    if (relay === undefined) {
      return false;
    }
    peers.send(relay, {
      kind: PeerMessageKind.TokenRequest,
      account,
      tokens: Math.ceil(tokens),
      ahead: Math.ceil(prefetch),
      draw: true,
    });
    return true;
  }

  /** Gives tokens to the relay; false without a relay. */
  returnToRelay(account: string, tokens: number): boolean {
    const {peers} = this;
    const relay = peers.responsiveRelay();
    if (relay === undefined) {
      return false;
    }
    peers.send(relay, {kind: PeerMessageKind.TokenTransfer, account, tokens});
    return true;
  }

  /** Gives tokens to one of the peers that run; false if there is none. */
  giveToRandomPeer(account: string, tokens: number): boolean {
    const {peers} = this;
    const candidates = peers.availablePeers();
    const recipient = candidates[Math.floor(Math.random() * candidates.length)];
    if (recipient === undefined) {
      return false;
    }
    peers.send(recipient, {
      kind: PeerMessageKind.TokenTransfer,
      account,
      tokens,
    });
    return true;
  }

  /** Answers a peer that asks for tokens. */
  handleRequest(
    requester: string,
    {account, tokens, ahead, draw}: TokenRequest,
  ): void {
    const {budgets, peers} = this;
    if (peers.partners().followers.includes(requester)) {
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

  /** Draws on the store for an instance that does not reach it. */
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

  /** Answers an instance that relies on this one for its tokens. */
  private async supplyFollower(
    follower: string,
    account: string,
    tokens: number,
    prefetch: number,
  ): Promise<void> {
    const {budgets, peers} = this;
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
      peers.send(follower, {kind, account, tokens, exhausted});
    }
  }

  private sendTokens(recipient: string, account: string, tokens: number): void {
    const {peers, log} = this;
    peers.send(recipient, {
      kind: PeerMessageKind.TokenTransfer,
      account,
      tokens,
    });
    log.info('budget.given', {account, tokens, peer: recipient});
  }
}

/** Up to `most` of some addresses, by chance. */
function randomSample(addresses: string[], maxCount: number): string[] {
  const remaining = [...addresses];
  const picked: string[] = [];
  while (picked.length < maxCount && remaining.length > 0) {
    const index = Math.floor(Math.random() * remaining.length);
    picked.push(...remaining.splice(index, 1));
  }
  return picked;
}
