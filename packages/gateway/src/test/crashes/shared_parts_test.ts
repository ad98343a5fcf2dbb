/**
 * Guards the links between instances against prompts of callers: reports of
 * crashes must fit the schema of messages whatever a prompt declares.
 */
import {expect} from 'chai';
import {sharedPartsOf} from '../../lib/requests/admission.js';
import {partTraits} from '../../lib/crashes/crash_watch.js';
import {
  PEER_MESSAGE_SCHEMA,
  PeerMessageKind,
} from '../../lib/fleet/peer_message.js';

/** Returns the parts of a prompt with identifiers of a length. */
function parts(count: number, length: number): {id: string; tokens: number}[] {
  return Array.from({length: count}, (_, index) => ({
    id: String(index).padStart(length, '0'),
    tokens: 10,
  }));
}

const CASES = [
  {name: 'no parts', prompt: [], shared: 0},
  {name: 'only its own part', prompt: parts(1, 8), shared: 0},
  {name: 'two shared parts', prompt: parts(3, 8), shared: 2},
  {name: 'a thousand parts', prompt: parts(1_000, 8), shared: 60},
  {name: 'a very long identifier', prompt: parts(2, 10_000), shared: 1},
];

describe('the shared parts of a prompt', () => {
  for (const {name, prompt, shared} of CASES) {
    it(`with ${name}: ${shared}, and fit a message`, () => {
      const sharedParts = sharedPartsOf(prompt);
      expect(sharedParts).to.have.length(shared);
      const message = {
        kind: PeerMessageKind.SuspectReport,
        fingerprint: 'f',
        upstream: 'u@1',
        traits: partTraits(sharedParts),
      };
      expect(PEER_MESSAGE_SCHEMA.safeParse(message).success).to.equal(true);
    });
  }

  it('are told apart by long identifiers', () => {
    const [first, second] = sharedPartsOf(parts(3, 10_000));
    expect(first).to.not.equal(second);
  });
});
