/** A relay's refusal of tokens names the question that it answers. */
import {expect} from 'chai';
import {ManualClock} from '@citrontrestle/decisions';
import {createLog} from '@citrontrestle/runtime';
import {ReservationOutcome} from '../../lib/budgets/prepaid_budgets.js';
import {TokenExchange} from '../../lib/budgets/token_exchange.js';
import {
  PEER_MESSAGE_SCHEMA,
  PeerMessageKind,
} from '../../lib/fleet/peer_message.js';
import type {PrepaidBudgets} from '../../lib/budgets/prepaid_budgets.js';
import type {PeerNetwork} from '../../lib/fleet/peer_network.js';

const FOLLOWER = '10.0.0.2:7000';

describe("a relay's refusal of tokens", () => {
  for (const ask of [7, undefined]) {
    it(`names the question of the follower: ${ask}`, async () => {
      const sent: unknown[] = [];
      const budgets = {
        supply: () => ({given: 0, outcome: ReservationOutcome.Exhausted}),
        readingAge: () => 20,
        grantedTokens: () => 100,
      } as unknown as PrepaidBudgets;
      const network = {
        partners: () => ({followers: [FOLLOWER]}),
        send: (_address: string, message: unknown) => sent.push(message),
      } as unknown as PeerNetwork;
      const log = createLog('error', {instance: 'g1', zone: 'north'});
      const exchange = new TokenExchange(
        budgets,
        network,
        new ManualClock(0),
        log,
      );
      const kind = PeerMessageKind.TokenRequest as const;
      const request = {kind, account: 'club', tokens: 5, ahead: 0, draw: true};
      exchange.handleRequest(FOLLOWER, {...request, ask});
      await new Promise(resolve => setImmediate(resolve));
      expect(PEER_MESSAGE_SCHEMA.parse(sent[0])).to.include({tokens: 5, ask});
    });
  }
});
