/** Tokens that the gateways ask of each other and give. */
import {ReservationOutcome} from './budget_task.js';
import {PeerMessageKind} from './peer_message.js';
import type {BudgetTask} from './budget_task.js';
import type {PeerMessage} from './peer_message.js';
import type {PeerTask} from './peer_task.js';
import type {Log} from '@citrontrestle/runtime';

/** What a peer asks for. */
type TokensAsk = PeerMessage & {kind: PeerMessageKind.TokensAsk};

/** Peers that are asked for tokens at once, at most. */
const MOST_ASKED = 16;

/** The exchange of tokens of one gateway. */
export class TokenExchange {
  constructor(
    private readonly budgets: BudgetTask,
    private readonly peers: PeerTask,
    private readonly log: Log,
  ) {}

  /** Asks some peers for tokens. */
  askTokens(account: string, tokens: number): void {
    const {peers} = this;
    const kind = PeerMessageKind.TokensAsk;
    const {followers, meshPeers} = peers.partners();
    const pools = followers.length > 0 && meshPeers.length > 0;
    const asked = pools ? meshPeers : pickSome(peers.live(), MOST_ASKED);
    for (const [index, address] of asked.entries()) {
      const missing = Math.ceil(tokens);
      // One of them draws on the store, if it reaches it.
      const draw = index === 0;
      peers.send(address, {kind, account, tokens: missing, ahead: 0, draw});
    }
  }

  /** Instances that draw on the budgets in the store, with this one. */
  drawing(): number {
    const {followers, meshPeers} = this.peers.partners();
    return followers.length > 0 ? 1 + meshPeers.length : this.peers.count();
  }

  /** Asks the relay for tokens; false without a relay. */
  askRelay(account: string, tokens: number, ahead: number): boolean {
    const {peers} = this;
    const relay = peers.heardRelay();
    if (relay === undefined) {
      return false;
    }
    peers.send(relay, {
      kind: PeerMessageKind.TokensAsk,
      account,
      tokens: Math.ceil(tokens),
      ahead: Math.ceil(ahead),
      draw: true,
    });
    return true;
  }

  /** Gives tokens to the relay; false without a relay. */
  giveRelay(account: string, tokens: number): boolean {
    const {peers} = this;
    const relay = peers.heardRelay();
    if (relay === undefined) {
      return false;
    }
    peers.send(relay, {kind: PeerMessageKind.TokensGive, account, tokens});
    return true;
  }

  /** Gives tokens to one of the peers that run; false if there is none. */
  handOver(account: string, tokens: number): boolean {
    const {peers} = this;
    const staying = peers.staying();
    const to = staying[Math.floor(Math.random() * staying.length)];
    if (to === undefined) {
      return false;
    }
    peers.send(to, {kind: PeerMessageKind.TokensGive, account, tokens});
    return true;
  }

  /** Answers a peer that asks for tokens. */
  give(to: string, {account, tokens, ahead, draw}: TokensAsk): void {
    const {budgets, peers} = this;
    if (peers.partners().followers.includes(to)) {
      void this.supplyFollower(to, account, tokens, ahead);
      return;
    }
    const given = budgets.giveToPeer(account, tokens);
    if (given > 0) {
      this.sendTokens(to, account, given);
    }
    if (draw && given < tokens && budgets.reachesStore(account)) {
      void this.drawFor(to, account, tokens - given);
    }
  }

  /** Draws on the store for an instance that does not reach it. */
  private async drawFor(
    to: string,
    account: string,
    tokens: number,
  ): Promise<void> {
    const asksPeers = false;
    const {given} = await this.budgets.supply(account, tokens, {
      prefetch: 0,
      asksPeers,
    });
    if (given > 0) {
      this.sendTokens(to, account, given);
    }
  }

  /** Answers an instance that relies on this one for its tokens. */
  private async supplyFollower(
    to: string,
    account: string,
    tokens: number,
    ahead: number,
  ): Promise<void> {
    const {budgets, peers} = this;
    const asksPeers = true;
    const supplied = await budgets.supply(account, tokens, {
      prefetch: ahead,
      asksPeers,
    });
    if (supplied.given > 0) {
      this.sendTokens(to, account, supplied.given);
    }
    if (supplied.outcome !== ReservationOutcome.Reserved) {
      const exhausted = supplied.outcome === ReservationOutcome.Exhausted;
      const kind = PeerMessageKind.TokensRefuse;
      peers.send(to, {kind, account, tokens, exhausted});
    }
  }

  private sendTokens(to: string, account: string, tokens: number): void {
    const {peers, log} = this;
    peers.send(to, {kind: PeerMessageKind.TokensGive, account, tokens});
    log.info('budget.given', {account, tokens, peer: to});
  }
}

/** Up to `most` of some addresses, by chance. */
function pickSome(addresses: string[], most: number): string[] {
  const left = [...addresses];
  const picked: string[] = [];
  while (picked.length < most && left.length > 0) {
    const index = Math.floor(Math.random() * left.length);
    picked.push(...left.splice(index, 1));
  }
  return picked;
}
